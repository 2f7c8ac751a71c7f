#pragma once

#include "Core/Clock.h"
#include "HttpServer.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <string>
#include <utility>

namespace firefly::standins {

/// VM list served over HTTP; readers see a change only after a lag.
class VmListService
{
public:
    /// \a lag is the delay between a change and its visibility to readers.
    explicit VmListService(Duration lag);

    void handle(const ServerRequest &request, const Responder &responder);

private:
    /// Returns the list that readers see at \a now, and drops older versions.
    const nlohmann::json &visibleList(TimePoint now);
    bool applyChange(const ServerRequest &request, nlohmann::json &list) const;

    Duration m_lag;
    bool m_hasOutage = false;
    /// Versions with the time of change; oldest first, readers see the front.
    std::deque<std::pair<TimePoint, nlohmann::json>> m_versions;
};

} // namespace firefly::standins
