#include "Runtime/ActionRunner.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace firefly {
namespace {

/// Long-poll time: how long the log service may wait for a record before it replies to a read.
constexpr Duration LogReadWait = std::chrono::milliseconds(100);

} // namespace

ActionRunner::ActionRunner(asio::io_context &context, const Settings &settings, EntryCore &core,
                           PeerNode &peers, EventLog &log)
    : m_core(core)
    , m_peers(peers)
    , m_log(log)
    , m_heartbeatTimeout(2 * settings.ownership.heartbeat)
    , m_curl(context)
    , m_logClient(m_curl, settings.platform.log, settings.entry.id.value())
    , m_workers(m_curl, 2 * settings.ownership.heartbeat)
    , m_vmList(m_curl, settings.platform.vms)
{}

void ActionRunner::runStep(const std::function<void(TimePoint)> &step)
{
    try {
        step(Clock::now());
    } catch (const InvariantViolation &e) {
        m_log.write(LogLevel::Error, "core", "invariant violated, message refused",
                    {{"detail", e.what()}});
    }
    for (EntryAction &action : m_core.takeActions()) {
        execute(std::move(action));
    }
}

void ActionRunner::execute(EntryAction action)
{
    std::visit([this](auto &&it) { perform(std::forward<decltype(it)>(it)); }, std::move(action));
}

void ActionRunner::perform(const SendAppend &action)
{
    m_logClient.append(action.append, [this](AppendResult result) {
        runStep([&](TimePoint now) { m_core.onAppendReply(now, result); });
    });
}

void ActionRunner::perform(const SendLogRead &action)
{
    const auto done = [this](const std::optional<LogRead> &read) {
        runStep([&](TimePoint now) {
            if (read) {
                m_core.onLogRead(now, *read);
            } else {
                m_core.onLogReadFailed(now);
            }
        });
    };
    m_logClient.read(action.from, action.maxRecords, done, LogReadWait);
}

void ActionRunner::perform(const SendVmListRead & /*action*/)
{
    m_vmList.read([this](const std::optional<VmList> &list) {
        runStep([&](TimePoint now) {
            if (list) {
                m_core.onVmList(now, *list);
            } else {
                m_core.onVmListFailed(now);
            }
        });
    });
}

void ActionRunner::perform(SendSync action)
{
    const WorkerInfo worker = action.worker;
    const WorkerSync sync = action.sync;
    m_workers.sync(
        worker, sync,
        [this, sent = std::move(action)](WorkerResult result, const WorkerSyncReply &reply) {
            runStep([&](TimePoint now) { m_core.onSyncReply(now, sent, result, reply); });
        });
}

void ActionRunner::perform(SendStart action)
{
    const WorkerInfo worker = action.worker;
    const StartAttempt task = action.task;
    m_workers.start(worker, task, [this, task = std::move(action.task)](WorkerResult result) {
        runStep([&](TimePoint now) { m_core.onStartReply(now, task, result); });
    });
}

void ActionRunner::perform(const SendStop &action)
{
    m_workers.stop(action.worker, action.task, [](WorkerResult) {});
}

void ActionRunner::perform(const SendThrottle &action)
{
    m_workers.throttle(action.worker, action.task, [](WorkerResult) {});
}

void ActionRunner::perform(SendCall action)
{
    const std::uint64_t dispatch = action.dispatch;
    m_workers.call(action.worker, std::move(action.call),
                   [this, dispatch](const WorkerCallReply &reply) {
                       runStep([&](TimePoint now) { m_core.onCallReply(now, dispatch, reply); });
                   });
}

void ActionRunner::perform(const SendHeartbeat &action)
{
    const auto done =
        [this, peer = action.peer.id](const std::optional<HeartbeatReplyWithLists> &answer) {
            runStep([&](TimePoint now) {
                if (answer) {
                    m_core.onHeartbeatReply(now, peer, *answer);
                } else {
                    m_core.onHeartbeatFailed(now, peer);
                }
            });
        };
    m_peers.heartbeat(action.peer.peerEndpoint, action.heartbeat, m_heartbeatTimeout, done);
}

void ActionRunner::perform(SendForward action)
{
    const Duration timeout = action.call.remaining;
    m_peers.forward(action.peer.peerEndpoint, std::move(action.call), timeout,
                    [this, dispatch = action.dispatch](const ForwardedResult &result) {
                        runStep(
                            [&](TimePoint now) { m_core.onForwardReply(now, dispatch, result); });
                    });
}

void ActionRunner::perform(const WriteEvent &action)
{
    const LogLevel level = action.isWarning ? LogLevel::Warning : LogLevel::Info;
    m_log.write(level, action.component, action.message, {{"detail", action.detail}});
}

} // namespace firefly
