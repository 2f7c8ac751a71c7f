#include "Node/DelegationRequest.h"

#include "Workload/JobRecords.h"

namespace firefly {

CallerReply toReply(CellScheduler::Verdict verdict)
{
    switch (verdict) {
    case CellScheduler::Verdict::Accepted:
        return {CallerOutcome::Done, JobState::Queued, 0, {}};
    case CellScheduler::Verdict::NotAccepted:
        return {CallerOutcome::Refused, JobState::Queued, 0, "not stored"};
    case CellScheduler::Verdict::Unknown:
        break;
    }
    return {CallerOutcome::Unknown, JobState::Queued, 0, "owner changed"};
}

void answerDelegation(CellScheduler &receiver, const DelegationRequest &request, TimePoint now,
                      std::int64_t nowUnixMs, const OnCallerReply &done)
{
    const auto onVerdict = [done](CellScheduler::Verdict verdict) { done(toReply(verdict)); };
    if (!request.record) {
        receiver.revokeTasks(request.job, now, nowUnixMs, onVerdict);
        return;
    }
    try {
        if (request.isReturn) {
            receiver.takeBackTasks(request.job, *request.record, now, nowUnixMs, onVerdict);
        } else {
            receiver.acceptTasks(request.job, *request.record, now, nowUnixMs, onVerdict);
        }
    } catch (const JobRecordError &e) {
        done({CallerOutcome::Malformed, JobState::Queued, 0, e.what()});
    }
}

} // namespace firefly
