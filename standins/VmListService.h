#pragma once

#include "Core/Clock.h"
#include "HttpServer.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <string>
#include <utility>

namespace firefly::standins {

/// HTTP service of a VM list whose readers see changes only after a lag.
class VmListService
{
public:
    explicit VmListService(Duration lag);

    void handle(const ServerRequest &request, const Responder &responder);

private:
    const nlohmann::json &visible(TimePoint now);
    bool change(const ServerRequest &request, nlohmann::json &list) const;

    Duration m_lag;
    bool m_isOut = false;
    std::deque<std::pair<TimePoint, nlohmann::json>> m_versions; ///< The front is visible.
};

} // namespace firefly::standins
