#include "Runtime/EntryRuntime.h"

#include "Entry/EntryCore.h"
#include "Http/HttpServer.h"
#include "Ops/EventLog.h"
#include "Ops/OperatorApi.h"
#include "Peers/PeerNode.h"
#include "Runtime/ActionRunner.h"
#include "Runtime/CallerApi.h"

#include <asio/basic_waitable_timer.hpp>
#include <nlohmann/json.hpp>

#include <random>
#include <sstream>
#include <utility>

namespace firefly {
namespace {

static_assert(OperatorBackend<EntryCore>,
              "EntryCore must satisfy the requirements of the operator API");

/// Time without open requests before the io_context is stopped, in which answers to other entries
/// are sent.
constexpr Duration FlushTime = std::chrono::milliseconds(200);
/// Maximum duration of draining, which may have to wait for example for a log outage to end.
constexpr Duration MaxDrainTime = std::chrono::seconds(30);
/// Minimum duration of draining, so that the load balancer sees the failing health check before
/// callers are turned away.
constexpr Duration MinDrainTime = std::chrono::seconds(1);

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/// Makes an id that no log writer has used before: the entry's id and a random incarnation.
WriterId makeWriterId(const EntryId &entry, std::uint64_t incarnation)
{
    std::ostringstream name;
    name << entry.value() << '.' << std::hex << incarnation;
    return WriterId(name.str());
}

HttpLimits toLimits(const LimitsSettings &settings)
{
    HttpLimits limits;
    limits.maxBodyBytes = static_cast<std::size_t>(settings.maxBodyBytes);
    limits.maxConnections = static_cast<std::size_t>(settings.maxConnections);
    limits.maxBufferedBytes = static_cast<std::size_t>(settings.maxBufferedBytes);
    limits.readTimeout = settings.bodyTimeout;
    return limits;
}

HttpResponse toHttp(OperatorResponse response)
{
    HttpResponse http;
    http.status = response.status;
    http.contentType = std::move(response.contentType);
    http.body = std::move(response.body);
    if (response.retryAfter) {
        http.headers.emplace_back("Retry-After", std::to_string(response.retryAfter->count()));
    }
    return http;
}

} // namespace

struct EntryRuntime::Private
{
    Private(asio::io_context &contextIn, const Settings &settings, std::uint64_t seed)
        : context(contextIn)
        , log(settings.entry.id.value(), settings.log.level)
        , core(settings, makeWriterId(settings.entry.id, seed), seed, Clock::now())
        , peers(context, settings.listen.peers, heartbeatHandler(), forwardHandler())
        , runner(context, settings, core, peers, log)
        , callerApi(core, static_cast<std::size_t>(settings.limits.maxInFlight), stepRunner())
        , operatorApi(core, settings.operators.token)
        , callerServer(context, settings.listen.callers, toLimits(settings.limits), callerHandler())
        , operatorServer(context, settings.listen.operators, HttpLimits{}, operatorHandler())
        , timer(context)
    {
        log.write(LogLevel::Info, "entry", "started", {{"writer", core.log().writer().value()}});
        scheduleTick();
    }

    CallerApi::StepRunner stepRunner()
    {
        return [this](const std::function<void(TimePoint)> &step) { runner.runStep(step); };
    }

    PeerNode::HeartbeatHandler heartbeatHandler()
    {
        return [this](const Heartbeat &heartbeat) {
            HeartbeatReplyWithLists answer;
            runner.runStep([&](TimePoint now) { answer = core.onHeartbeat(now, heartbeat); });
            return answer;
        };
    }

    PeerNode::ForwardHandler forwardHandler()
    {
        return [this](ForwardedCall call, PeerNode::ForwardCallback done) {
            runner.runStep([&](TimePoint now) {
                core.onForwardedCall(now, std::move(call), std::move(done));
            });
        };
    }

    HttpServer::Handler callerHandler()
    {
        return [this](HttpRequest request, HttpServer::Respond respond) {
            callerApi.handle(std::move(request),
                             [this, respond = std::move(respond)](HttpResponse response) {
                                 response.closesConnection |= core.isDraining();
                                 respond(std::move(response));
                             });
        };
    }

    HttpServer::Handler operatorHandler()
    {
        return [this](const HttpRequest &request, const HttpServer::Respond &respond) {
            const OperatorRequest operatorRequest{request.method, request.path,
                                                  std::string(request.header("Authorization")),
                                                  request.body};
            runner.runStep([&](TimePoint) {
                operatorApi.handle(operatorRequest, [respond](OperatorResponse response) {
                    respond(toHttp(std::move(response)));
                });
            });
        };
    }

    void scheduleTick()
    {
        timer.expires_after(EntryCore::TickInterval);
        timer.async_wait([this](const std::error_code &ec) {
            if (ec) {
                return;
            }
            runner.runStep([this](TimePoint now) { core.tick(now); });
            if (isDrainFinished()) {
                logStop();
                context.stop();
                return;
            }
            scheduleTick();
        });
    }

    /// True once nothing has been owed for FlushTime, or after MaxDrainTime.
    ///
    /// After MinDrainTime callers can't open connections any more, and each answer closes one, so
    /// that what is owed only decreases.
    bool isDrainFinished()
    {
        if (!core.isDraining()) {
            return false;
        }
        const TimePoint now = Clock::now();
        if (drainStart == TimePoint{}) {
            drainStart = now;
        }
        const Duration elapsed = now - drainStart;
        if (elapsed < MinDrainTime) {
            return false;
        }
        const bool hadStoppedAccepting = std::exchange(hasStoppedAccepting, true);
        if (!hadStoppedAccepting) {
            callerServer.stopAccepting();
        }
        if (!hadStoppedAccepting || owesAnswers()) {
            lastOwedAt = now;
        }
        return elapsed >= MaxDrainTime || now - lastOwedAt >= FlushTime;
    }

    /// True while a caller, an operator or another entry waits for an answer, or the rest of it.
    bool owesAnswers() const
    {
        return !core.isDrained() || callerServer.openRequests() > 0
               || operatorServer.openRequests() > 0;
    }

    void logStop()
    {
        log.write(LogLevel::Info, "entry", "drained",
                  {{"handedOver", core.workers().authority().shards().empty()},
                   {"unsent", callerServer.openRequests() + operatorServer.openRequests()}});
    }

    asio::io_context &context;
    EventLog log;
    EntryCore core;
    PeerNode peers;
    ActionRunner runner;
    CallerApi callerApi;
    OperatorApi<EntryCore> operatorApi;
    HttpServer callerServer;
    HttpServer operatorServer;
    asio::basic_waitable_timer<Clock> timer;
    TimePoint drainStart{};
    TimePoint lastOwedAt{}; ///< Valid once hasStoppedAccepting.
    bool hasStoppedAccepting = false;
};

EntryRuntime::EntryRuntime(asio::io_context &context, const Settings &settings)
    : m_private(std::make_unique<Private>(context, settings, randomSeed()))
{}

EntryRuntime::~EntryRuntime() = default;

void EntryRuntime::drain()
{
    m_private->core.drain();
}

} // namespace firefly
