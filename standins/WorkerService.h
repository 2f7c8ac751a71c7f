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

/// HTTP service of the workers of one zone, with faults that are switched by request.
class WorkerService
{
public:
    /// Serves \a workers; \a boot names this process, \a seed fixes all jitter.
    WorkerService(asio::io_context &context, std::vector<WorkerInfo> workers,
                  const std::string &boot, std::uint64_t seed);

    void handle(const ServerRequest &request, const Responder &responder);

private:
    struct Faults
    {
        bool isSilent = false;                  ///< Takes no message and never answers.
        std::uint64_t silentUpToConnection = 0; ///< Connections this old are silent for good.
        bool truncatesAnswers = false;          ///< Cuts the answers of calls short.
        std::int64_t repliesToLose = 0;         ///< Takes the message, gives no answer.
        Duration delay{};                       ///< Before each message is taken.

        bool silences(const Responder &responder) const
        {
            return isSilent || responder.connection() <= silentUpToConnection;
        }
    };

    struct Served
    {
        std::unique_ptr<StandinWorker> worker;
        Faults faults;
    };

    void serve(Served &served, const ServerRequest &request, const Responder &responder);
    void serveCall(Served &served, const ServerRequest &request, const Responder &responder);
    void finishCall(Served &served, const WorkerCall &call, std::uint64_t number,
                    const Responder &responder);
    void answer(Served &served, const Responder &responder, Verdict verdict) const;
    void answer(Served &served, const Responder &responder, int status, const std::string &body,
                const Responder::Fields &fields = {}) const;
    void switchFaults(const ServerRequest &request, const Responder &responder);
    void applyFaults(Served &served, const ServerRequest &request);
    void replyRecords(const Responder &responder);
    void switchProfile(const ServerRequest &request, const Responder &responder);

    asio::io_context &m_context;
    std::vector<WorkerInfo> m_infos;
    WorkerProfile m_profile;
    std::map<std::string, Served> m_workers;
    std::uint64_t m_newestConnection = 0;
};

} // namespace firefly::standins
