#pragma once

#include "Adapters/CurlLoop.h"
#include "Platform/LogMessages.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace firefly {

/// Client of the platform's log service.
class HttpLogClient
{
public:
    /// \a client identifies this process to the log service.
    HttpLogClient(CurlLoop &loop, const Endpoint &endpoint, std::string_view client,
                  Duration timeout = std::chrono::seconds(2));

    /// Appends \a append as one atomic batch.
    void append(const LogAppend &append, std::function<void(AppendResult)> callback);

    /// Reads up to \a maxRecords records from offset \a from on; std::nullopt without a complete,
    /// valid response.
    ///
    /// While the log has no record at \a from, the service delays its response by up to \a wait.  A
    /// record that this version can't decode is returned as an empty envelope.
    void read(Offset from, std::size_t maxRecords,
              std::function<void(std::optional<LogRead>)> callback,
              Duration wait = Duration::zero());

private:
    CurlLoop &m_loop;
    std::string m_baseUrl;
    std::string m_client;
    Duration m_timeout;
};

} // namespace firefly
