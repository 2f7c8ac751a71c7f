/// \file Applies records of the log in order to the cluster state that each entry replicates.

#include "Entry/ClusterState.h"
#include "Records.h"

#include <cstdlib>
#include <iostream>
#include <string_view>
#include <utility>

namespace {

using namespace firefly;

const ShardId Shard("kochi/rack-1");
const JobId Rebuild("malabar-air~week-12");

std::string_view toString(FoldResult verdict)
{
    switch (verdict) {
    case FoldResult::Accepted:
        return "accepted";
    case FoldResult::Stale:
        return "stale";
    case FoldResult::Conflict:
        return "conflict";
    case FoldResult::Duplicate:
        return "duplicate";
    case FoldResult::Invalid:
        break;
    }
    return "invalid";
}

/// A log with one writer; each appended record is applied to the cluster state at once.
class Log
{
public:
    /// Appends \a record under the next sequence number.
    FoldResult append(Record record) { return fold({m_writer, ++m_sequence, std::move(record)}); }

    /// Appends \a record under the last sequence number again, as a writer retries whose reply was
    /// lost.
    FoldResult appendAgain(Record record)
    {
        return fold({m_writer, m_sequence, std::move(record)});
    }

    const ClusterState &state() const { return m_state; }

private:
    FoldResult fold(Envelope envelope)
    {
        const LoggedEnvelope logged{m_state.applied() + 1, std::move(envelope)};
        const FoldResult verdict = m_state.apply(logged);
        std::cout << logged.offset << ' ' << typeName(logged.envelope.record) << ": "
                  << toString(verdict) << '\n';
        return verdict;
    }

    WriterId m_writer{"entry-1.a1"};
    std::uint64_t m_sequence = 0;
    ClusterState m_state;
};

JobSubmitted submission()
{
    JobSubmitted submitted{.job = Rebuild};
    submitted.spec.customer = CustomerId("malabar-air");
    submitted.spec.kind = "rebuild";
    submitted.spec.resources = {.milliProcessors = 2000, .memoryMiB = 1024};
    submitted.spec.runtimeMs = 60'000;
    return submitted;
}

} // namespace

int main()
{
    Log log;
    log.append(ShardClaimed{EntryId("entry-1"), Shard, 0});
    const Term term = log.state().currentTerm(Shard);
    log.append(submission());
    const JobPlaced placed{Rebuild, 1, WorkerId("kochi-w1"), Shard, term};
    log.append(placed);
    const bool isDuplicateDetected = log.appendAgain(placed) == FoldResult::Duplicate;
    log.append(ShardClaimed{EntryId("entry-2"), Shard, term});
    const JobEvicted staleEviction{Rebuild, 1, term, EvictionReason::Pressure, 0};
    const bool isStaleTermFenced = log.append(staleEviction) == FoldResult::Stale;
    log.append(JobFinished{Rebuild, 1, log.state().currentTerm(Shard), true, "42 pairings"});

    const Job *job = log.state().get<JobLedger>().find(Rebuild);
    std::cout << Rebuild.value() << " is " << toString(job->state) << ": " << job->result << '\n';
    const bool isFinished = job->state == BatchJobState::Finished;
    return isDuplicateDetected && isStaleTermFenced && isFinished ? EXIT_SUCCESS : EXIT_FAILURE;
}
