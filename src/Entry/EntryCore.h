#pragma once

#include "Config/Settings.h"
#include "Core/Clock.h"
#include "Entry/BatchRunner.h"
#include "Entry/EntryActions.h"
#include "Entry/LogSession.h"
#include "Entry/PeerSession.h"
#include "Entry/Proposals.h"
#include "Entry/UrgentCalls.h"
#include "Entry/WorkerSession.h"
#include "Membership/HeartbeatReplyWithLists.h"
#include "Ops/Metrics.h"
#include "Ops/OperatorMessages.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace firefly {

/// One entry (a scheduler instance that serves callers and operators and owns shards of workers) as
/// a deterministic state machine without I/O.
///
/// Each on...() handles one message; tick() handles timeouts and periodic work and is called every
/// TickInterval.  After each of them, takeActions() returns the messages to send.  The daemon,
/// tests under a paused clock and randomised simulations run the same object.
class EntryCore
{
public:
    static constexpr Duration TickInterval = std::chrono::milliseconds(10);
    /// Time within which a proposed record must be read back; after it the proposer is told to
    /// retry.
    static constexpr Duration ProposalTimeout = std::chrono::seconds(5);

    /// \a writer must be unique to this incarnation; \a seed seeds every random choice.
    EntryCore(const Settings &settings, WriterId writer, std::uint64_t seed, TimePoint start);

    void tick(TimePoint now);
    /// Returns the actions queued since the last call and clears them.
    EntryActions takeActions();

    void onLogRead(TimePoint now, const LogRead &read);
    void onLogReadFailed(TimePoint now);
    void onAppendReply(TimePoint now, AppendResult result);
    void onVmList(TimePoint now, const VmList &list);
    void onVmListFailed(TimePoint now);

    HeartbeatReplyWithLists onHeartbeat(TimePoint now, const Heartbeat &request);
    void onHeartbeatReply(TimePoint now, const EntryId &peer,
                          const HeartbeatReplyWithLists &answer);
    void onHeartbeatFailed(TimePoint now, const EntryId &peer);

    /// \a reply is meaningful when \a result is Done.
    void onSyncReply(TimePoint now, const SendSync &sent, WorkerResult result,
                     const WorkerSyncReply &reply);
    void onStartReply(TimePoint now, const StartAttempt &task, WorkerResult result);
    void onCallReply(TimePoint now, std::uint64_t dispatch, const WorkerCallReply &reply);
    void onForwardReply(TimePoint now, std::uint64_t dispatch, const ForwardedResult &result);

    /// Handles a caller's urgent request.  \pre hasService(request.service).
    void onCallerRequest(TimePoint now, CallerRequest request, CallDone done);
    void onForwardedCall(TimePoint now, ForwardedCall call, ForwardDone done);
    bool hasService(const ServiceId &service) const
    {
        return m_settings.services.contains(service);
    }
    /// The settings of \a service.  \pre hasService(service).
    const ServiceSettings &service(const ServiceId &service) const
    {
        return m_settings.services.at(service);
    }

    /// \name Operator API and job interface; see OperatorBackend.
    /// The deadline of a proposal counts from the time of the last message or tick.
    ///@{
    const OperatorLists &lists() const;
    std::vector<EntryListVersions> inForce() const;
    std::string metrics() const { return m_metrics.exposition(); }
    nlohmann::json dump() const;
    nlohmann::json jobStatus(const JobId &job) const;
    nlohmann::json explainJob(const JobId &job) const;
    nlohmann::json explainWorker(const WorkerId &worker) const;
    void proposePlans(PlansEdited edit, const EditCallback<PlansList> &done);
    void proposeLimits(LimitsEdited edit, const EditCallback<LimitsList> &done);
    void drain();
    void submitJob(JobSubmission submission, const CommandCallback &done);
    void cancelJob(const JobId &job, const CommandCallback &done);
    void switchPlannedWork(PlannedWorkSwitched planned, const CommandCallback &done);
    ///@}

    /// True when the load balancer may route callers to this entry.
    bool isHealthy() const;
    bool isDraining() const { return m_isDraining; }
    /// True when a draining entry has no open call, no shard and no pending append left.
    bool isDrained() const;

    const LogSession &log() const { return m_log; }
    const WorkerSession &workers() const { return m_workers; }
    const UrgentCalls &calls() const { return m_calls; }

private:
    void onRecord(TimePoint now, const LoggedEnvelope &logged, FoldResult verdict);
    void onOwnershipRecord(TimePoint now, const LoggedEnvelope &logged, FoldResult verdict);
    void onRestored(TimePoint now);
    void sendDueHeartbeats(TimePoint now);
    void readVmListIfDue(TimePoint now);
    void planClaims(TimePoint now);
    void releaseShards();
    void updateAdmissionIfDue(TimePoint now);
    Heartbeat makeHeartbeat(TimePoint now) const;
    bool isDesignatedForSnapshots() const;
    void writeEvent(bool isWarning, std::string component, std::string message, std::string detail);
    void reportLogReachability();
    template <typename Record>
    void propose(Record record, const Proposals::Done &done);
    template <typename Edit, typename List>
    void proposeEdit(Edit edit, const EditCallback<List> &done);

    Settings m_settings;
    std::mt19937_64 m_random;
    TimePoint m_now;
    EntryActions m_actions;
    Metrics m_metrics;
    LogSession m_log;
    PeerSession m_peers;
    WorkerSession m_workers;
    BatchRunner m_batch;
    UrgentCalls m_calls;
    Proposals m_proposals;
    bool m_isDraining = false;
    bool m_wasLogReachable = false;
    bool m_isVmListReadInFlight = false;
    TimePoint m_nextVmListAt;
    TimePoint m_nextClaimsAt;
    TimePoint m_nextAdmissionUpdateAt;
    TimePoint m_nextRefreshAt;
    std::uint64_t m_lastJobNumber = 0;
};

} // namespace firefly
