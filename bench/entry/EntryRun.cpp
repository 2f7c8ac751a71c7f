#include "bench/entry/EntryRun.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace firefly::bench {
namespace {

constexpr std::uint64_t Seed = 20261203;
const EntryId Self("entry-0");
const ServiceId Service("service");
const CustomerId Customer("customer");
constexpr Resources UnlimitedResources{1'000'000'000, 1'000'000'000, 1'000'000, 1'000'000};
constexpr Resources TaskSize{1000, 1024, 0, 0};
/// Keeps leases valid while the benchmark delays the replies to syncs.
constexpr Duration LongLease = std::chrono::hours(1);
constexpr int MaxExchangeRounds = 16; ///< Limit of consecutive message exchanges within one step.

JobId makeJobId(std::size_t n)
{
    return JobId("job-" + std::to_string(n));
}

} // namespace

Settings EntryRun::makeSettings()
{
    Settings settings;
    settings.entry = {Self, ZoneId("zone-0")};
    ServiceSettings service;
    service.idempotent = true;
    settings.services.emplace(Service, service);
    settings.ownership.lease = LongLease;
    return settings;
}

EntryRun::EntryRun(std::size_t workers)
    : m_platform(workers, Self)
    , m_core(makeSettings(), WriterId("entry-0.1"), Seed, m_now)
{
    m_peerHeartbeat.from = EntryId("entry-1");
    for (std::size_t n = 0; n < m_platform.shards(); ++n) {
        m_peerHeartbeat.shards.push_back({ShardId("zone-0/other-" + std::to_string(n)), 1, 0});
    }
}

void EntryRun::step(std::size_t maxSyncs)
{
    m_now += EntryCore::TickInterval;
    answerReads();
    m_meter.measure(Operation::Tick, [&] { m_core.tick(m_now); });
    performActions();
    for (std::size_t n = 0; n < maxSyncs && !m_syncOrder.empty(); ++n) {
        const WorkerId worker = m_syncOrder.front();
        m_syncOrder.pop_front();
        answerSync(worker);
    }
}

void EntryRun::answerSyncsOfStartedWorkers()
{
    for (const WorkerId &worker : std::exchange(m_startedWorkers, {})) {
        if (m_syncs.contains(worker)) {
            std::erase(m_syncOrder, worker);
            answerSync(worker);
        }
        m_startedWorkers.insert(worker);
    }
}

void EntryRun::answerSync(const WorkerId &worker)
{
    const auto node = m_syncs.extract(worker);
    const SendSync &send = node.mapped();
    const WorkerSyncReply reply = m_platform.sync(send, m_now);
    m_meter.measure(Operation::SyncReply,
                    [&] { m_core.onSyncReply(m_now, send, WorkerResult::Done, reply); });
    performActions();
}

void EntryRun::answerReads()
{
    const auto sent = std::exchange(m_read, std::nullopt);
    if (!sent) {
        return;
    }
    const LogRead read = m_platform.read(*sent);
    m_meter.measure(Operation::LogRead, [&] { m_core.onLogRead(m_now, read); });
    performActions();
}

void EntryRun::performActions()
{
    for (int round = 0; round < MaxExchangeRounds; ++round) {
        EntryActions actions = m_core.takeActions();
        if (actions.empty()) {
            return;
        }
        for (const EntryAction &it : actions) {
            perform(it);
        }
        const HeapCount heap;
        actions = {};
    }
}

void EntryRun::perform(const EntryAction &action)
{
    if (const auto *read = std::get_if<SendLogRead>(&action)) {
        m_read = *read;
    } else if (const auto *append = std::get_if<SendAppend>(&action)) {
        m_platform.append(append->append.envelopes);
        m_meter.measure(Operation::AppendReply,
                        [&] { m_core.onAppendReply(m_now, AppendResult::Done); });
    } else if (std::holds_alternative<SendVmListRead>(action)) {
        m_meter.measure(Operation::VmList, [&] { m_core.onVmList(m_now, m_platform.vmList()); });
    } else if (const auto *sync = std::get_if<SendSync>(&action)) {
        if (m_syncs.insert_or_assign(sync->worker.id, *sync).second) {
            m_syncOrder.push_back(sync->worker.id);
        }
    } else if (const auto *start = std::get_if<SendStart>(&action)) {
        m_startedWorkers.insert(start->worker.id);
        const WorkerResult result = m_platform.start(*start, m_now);
        m_meter.measure(Operation::StartReply,
                        [&] { m_core.onStartReply(m_now, start->task, result); });
    } else if (const auto *stop = std::get_if<SendStop>(&action)) {
        m_platform.stop(*stop, m_now);
    } else if (const auto *throttle = std::get_if<SendThrottle>(&action)) {
        m_platform.throttle(*throttle, m_now);
    } else if (const auto *sendHeartbeat = std::get_if<SendHeartbeat>(&action)) {
        HeartbeatReplyWithLists answer;
        answer.reply.heartbeat = m_peerHeartbeat;
        m_meter.measure(Operation::Heartbeat,
                        [&] { m_core.onHeartbeatReply(m_now, sendHeartbeat->peer.id, answer); });
    } else if (const auto *call = std::get_if<SendCall>(&action)) {
        if (m_answersCalls) {
            const WorkerCallReply reply = m_platform.call(*call, m_now);
            m_meter.measure(Operation::Call,
                            [&] { m_core.onCallReply(m_now, call->dispatch, reply); });
        }
    }
}

bool EntryRun::call(std::size_t bodyBytes)
{
    bool answered = false;
    const CallerRequest request{Customer, Service, {}, std::string(bodyBytes, 'x'), {}};
    m_meter.measure(Operation::Call, [&] {
        m_core.onCallerRequest(m_now, request, [&answered](const CallReply &reply) {
            answered = reply.outcome == Outcome::Answer;
        });
    });
    performActions();
    return answered;
}

void EntryRun::beginCall(std::size_t bodyBytes)
{
    m_answersCalls = false;
    const CallerRequest request{Customer, Service, {}, std::string(bodyBytes, 'x'), {}};
    m_meter.measure(Operation::Call,
                    [&] { m_core.onCallerRequest(m_now, request, [](const CallReply &) {}); });
    performActions();
    m_answersCalls = true;
}

void EntryRun::submitJob(std::size_t n, std::int64_t runtimeMs)
{
    JobSubmission submission;
    submission.job = makeJobId(n);
    submission.spec = {Customer, "rebuild", TaskSize, runtimeMs, std::string(64, 'x')};
    m_meter.measure(Operation::Command,
                    [&] { m_core.submitJob(submission, [](const CommandResult &) {}); });
    performActions();
}

bool EntryRun::bringListsIntoForce()
{
    constexpr int MaxSteps = 100;
    LimitsEdited limits{"bench", 0, {}};
    limits.list.limitsOfPlan["plan"] = {UnlimitedResources, {}, 0, 1};
    m_core.proposeLimits(limits, [](const EditResult<LimitsList> &) {});
    for (int n = 0; n < MaxSteps && m_core.lists().limits.version == 0; ++n) {
        step(0);
    }
    PlansEdited plans{"bench", 0, {}};
    plans.list.planOfCustomer[Customer.value()] = "plan";
    m_core.proposePlans(plans, [](const EditResult<PlansList> &) {});
    for (int n = 0; n < MaxSteps && m_core.lists().plans.version == 0; ++n) {
        step(0);
    }
    return m_core.lists().plans.version != 0;
}

void EntryRun::appendRecordsOfOtherWriter(std::size_t n)
{
    std::vector<Envelope> envelopes;
    std::uint64_t sequence = 0;
    const WriterId writer("entry-1." + std::to_string(m_now.time_since_epoch().count()));
    const auto name = [](std::size_t i) { return JobId("foreign-" + std::to_string(i)); };
    for (std::size_t i = 0; i < n / 2; ++i) {
        const BatchJobSpec spec{Customer, "rebuild", TaskSize, 1000, std::string(64, 'x')};
        envelopes.push_back({writer, ++sequence, JobSubmitted{name(i), spec}});
    }
    for (std::size_t i = 0; i < n / 2; ++i) {
        envelopes.push_back({writer, ++sequence, JobCancelled{name(i)}});
    }
    m_platform.append(envelopes);
}

void EntryRun::addPeer()
{
    m_platform.addEntry({m_peerHeartbeat.from, ZoneId("zone-0"), {"127.0.0.1", 2}, VmState::Live});
}

void EntryRun::handleHeartbeat()
{
    m_meter.measure(Operation::Heartbeat, [&] {
        const auto answer = m_core.onHeartbeat(m_now, m_peerHeartbeat);
        static_cast<void>(answer);
    });
}

Heartbeat EntryRun::heartbeat()
{
    return m_core.onHeartbeat(m_now, m_peerHeartbeat).reply.heartbeat;
}

std::size_t EntryRun::countJobs(std::string_view state, std::size_t from, std::size_t to) const
{
    std::size_t sum = 0;
    for (std::size_t n = from; n < to; ++n) {
        const auto status = m_core.jobStatus(makeJobId(n));
        sum += !status.is_null() && status["state"] == state ? 1 : 0;
    }
    return sum;
}

} // namespace firefly::bench
