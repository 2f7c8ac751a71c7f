#pragma once

#include "Adapters/CurlLoop.h"
#include "Core/VmInfo.h"
#include "Platform/WorkerMessages.h"

#include <functional>

namespace firefly {

/// Client of the platform's workers.
///
/// A response to a call is passed on only if it is complete and echoes the call's request ID;
/// otherwise the result is WorkerResult::Uncertain with an empty body.
class HttpWorkerClient
{
public:
    using ResultCallback = std::function<void(WorkerResult)>;

    /// \a timeout applies to all requests but calls, which have their own.
    explicit HttpWorkerClient(CurlLoop &loop, Duration timeout = std::chrono::seconds(1));

    /// Renews the lease; the result is WorkerResult::Done for every valid response, even one that
    /// rejects the sync.
    void sync(const WorkerInfo &worker, const WorkerSync &message,
              std::function<void(WorkerResult, WorkerSyncReply)> callback);
    void start(const WorkerInfo &worker, const StartAttempt &message, ResultCallback callback);
    void stop(const WorkerInfo &worker, const StopAttempt &message, ResultCallback callback);
    void throttle(const WorkerInfo &worker, const ThrottleAttempt &message,
                  ResultCallback callback);
    void call(const WorkerInfo &worker, WorkerCall message,
              std::function<void(WorkerCallReply)> callback);

private:
    template <typename Message>
    void post(const WorkerInfo &worker, std::string_view operation, const Message &message,
              ResultCallback callback);

    CurlLoop &m_loop;
    Duration m_timeout;
};

} // namespace firefly
