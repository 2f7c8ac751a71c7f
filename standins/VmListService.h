#pragma once

#include "Core/Clock.h"
#include "Core/VmInfo.h"
#include "HttpServer.h"

#include <deque>
#include <string>

namespace firefly::standins {

/// VM list whose readers see changes only after a lag.
class VmListService
{
public:
    explicit VmListService(Duration lag);

    void handle(const ServerRequest &request, const Responder &responder);

    /// The list as a reader sees it at \a now.
    const VmList &visible(TimePoint now);
    /// Puts \a list into force at \a now; readers see it a lag later.
    void replace(VmList list, TimePoint now);

private:
    struct Version
    {
        TimePoint at;
        VmList list;
    };

    void merge(const VmList &changes, TimePoint now);
    void remove(const std::string &id, TimePoint now);
    void setState(const std::string &id, VmState state, TimePoint now);

    Duration m_lag;
    bool m_isOut = false;
    std::deque<Version> m_versions; ///< Oldest first; the front is visible.
};

} // namespace firefly::standins
