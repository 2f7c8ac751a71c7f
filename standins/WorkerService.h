#pragma once

#include "Core/VmInfo.h"
#include "HttpServer.h"
#include "StandinWorker.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace firefly::standins {

/// Serves the simulated workers of one zone over HTTP; faults can be injected by request.
class WorkerService
{
public:
    /// Serves \a workers; \a boot identifies this process in the incarnation names, \a seed seeds
    /// the jitter of call durations.
    WorkerService(asio::io_context &context, std::vector<WorkerInfo> workers,
                  const std::string &boot, std::uint64_t seed);

    /// Serves the paths workers, records, vms and profile.
    void handle(const ServerRequest &request, const Responder &responder);

private:
    /// Injected faults of one worker.
    struct Faults
    {
        bool isSilent = false;                  ///< Ignores messages and sends no replies.
        std::uint64_t lastSilentConnection = 0; ///< This and earlier connections stay silent.
        bool isTruncatingAnswers = false;       ///< Truncates the answers of calls.
        std::int64_t repliesToDrop = 0; ///< Next messages that are processed without a reply.
        Duration delay{};               ///< Before each message is processed.

        bool isSilentTo(const Responder &responder) const
        {
            return isSilent || responder.connection() <= lastSilentConnection;
        }
    };

    struct HostedWorker
    {
        std::unique_ptr<StandinWorker> worker;
        Faults faults;
    };

    void serve(HostedWorker &hosted, const ServerRequest &request, const Responder &responder);
    void handleCall(HostedWorker &hosted, const ServerRequest &request, const Responder &responder);
    void finishCall(HostedWorker &hosted, const WorkerCall &call, std::uint64_t number,
                    const Responder &responder);
    /// Replies unless injected faults suppress the reply.
    void sendReply(HostedWorker &hosted, const Responder &responder, MessageResult result) const;
    void sendReply(HostedWorker &hosted, const Responder &responder, int status,
                   const std::string &body, const Responder::Fields &fields = {}) const;
    void handleFaults(const ServerRequest &request, const Responder &responder);
    void applyFaults(HostedWorker &hosted, const ServerRequest &request);
    void replyRecords(const Responder &responder);
    void handleProfile(const ServerRequest &request, const Responder &responder);

    asio::io_context &m_context;
    std::vector<WorkerInfo> m_infos;
    WorkerProfile m_profile;
    std::map<std::string, HostedWorker> m_workers;
    std::uint64_t m_lastConnection = 0; ///< Highest connection number seen.
};

} // namespace firefly::standins
