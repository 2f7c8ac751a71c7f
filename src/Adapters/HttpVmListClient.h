#pragma once

#include "Adapters/CurlLoop.h"
#include "Core/VmInfo.h"

#include <functional>
#include <optional>

namespace firefly {

/// Client of the platform's VM list.
class HttpVmListClient
{
public:
    HttpVmListClient(CurlLoop &loop, const Endpoint &endpoint,
                     Duration timeout = std::chrono::seconds(2));

    /// Reads the list; std::nullopt without a complete, valid response.
    void read(std::function<void(std::optional<VmList>)> callback);

private:
    CurlLoop &m_loop;
    std::string m_url;
    Duration m_timeout;
};

} // namespace firefly
