/// \file Measures bytes and time per log record, and snapshot size and catch-up time per job.

#include "Recovery.h"

#include "Calls.h"
#include "fakes/FakeLog.h"
#include "fakes/FakeShardTerms.h"
#include "Jobs.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

namespace {

using namespace firefly;

using State = CompositeFold<fakes::FakeShardTerms, JobLedger, IntentLedger>;
using Seconds = std::chrono::duration<double>;

const ShardId Rack("kochi/r1");
constexpr std::size_t PayloadBytes = 64;
constexpr std::size_t ResultBytes = 64;
constexpr std::size_t AnswerBytes = 64;

template <typename Work>
double measureSeconds(Work work)
{
    const auto start = std::chrono::steady_clock::now();
    work();
    return Seconds(std::chrono::steady_clock::now() - start).count();
}

/// Records of a number of jobs and calls, in log order.
class History
{
public:
    explicit History(int jobs)
    {
        add(ShardClaimed{EntryId("e1"), Rack, 0});
        for (int i = 0; i < jobs; ++i) {
            addJob(i);
            addCall(i);
        }
    }

    const std::vector<Envelope> &envelopes() const { return m_envelopes; }

private:
    void add(Record record)
    {
        m_envelopes.push_back({WriterId("e1.1"), m_envelopes.size() + 1, std::move(record)});
    }
    /// Adds a job that is placed, evicted and placed again; every second one also finishes.
    void addJob(int i)
    {
        const JobId job("job-" + std::to_string(i));
        const WorkerId worker("kochi-worker-" + std::to_string(i % 50));
        BatchJobSpec spec{CustomerId("kayal"), "rebuild", {4000, 8192, 0, 0}, 600'000, {}};
        spec.payload.assign(PayloadBytes, 'p');
        add(JobSubmitted{job, spec});
        add(JobPlaced{job, 1, worker, Rack, 1});
        add(JobCheckpointed{job, 1, 1, 1000});
        add(JobEvicted{job, 1, 1, EvictionReason::Pressure, 2000});
        add(JobPlaced{job, 2, worker, Rack, 1});
        if (i % 2 == 0) {
            add(JobFinished{job, 2, 1, true, std::string(ResultBytes, 'r')});
        }
    }
    void addCall(int i)
    {
        const std::string key = "swap-" + std::to_string(i);
        const RequestId request("e1.1." + std::to_string(i));
        add(CallIntended{CustomerId("kayal"), key, EntryId("e1"), WriterId("e1.1"), request, 7});
        add(CallConcluded{CustomerId("kayal"), key, request, Outcome::Answer,
                          std::string(AnswerBytes, 'a')});
    }

    std::vector<Envelope> m_envelopes;
};

/// Time that a new reader needs to become current, and the snapshots it restored.
struct CatchUpResult
{
    double seconds = 0;
    std::uint64_t restores = 0;
};

CatchUpResult catchUp(const fakes::FakeLog &log, const std::string &expected)
{
    State state;
    CatchUp reader;
    const auto ignore = [](const LoggedEnvelope & /*logged*/, FoldResult /*result*/) {};
    const double seconds = measureSeconds([&] {
        while (!reader.isCurrent()) {
            reader.apply(log.read(reader.next(), log.tail()), state, ignore);
        }
    });
    FIREFLY_ASSERT(state.snapshot() == expected,
                   "the reader that caught up has the expected state");
    return {seconds, reader.restores()};
}

nlohmann::json measure(int jobs)
{
    const History history(jobs);
    const auto records = static_cast<double>(history.envelopes().size());
    std::vector<std::string> lines;
    const double encoding = measureSeconds([&] {
        for (const Envelope &it : history.envelopes()) {
            lines.push_back(encode(it));
        }
    });
    double bytes = 0;
    for (const std::string &it : lines) {
        bytes += static_cast<double>(it.size());
    }
    const double decoding = measureSeconds([&] {
        for (const std::string &it : lines) {
            decode(it);
        }
    });
    fakes::FakeLog log;
    log.append(history.envelopes());
    State state;
    const LogRead all = log.read(1, log.tail());
    const double folding = measureSeconds([&] {
        for (const LoggedEnvelope &it : all.envelopes) {
            state.apply(it);
        }
    });
    std::string text;
    const double snapshotting = measureSeconds([&] { text = state.snapshot(); });
    const CatchUpResult replay = catchUp(log, text);

    SnapshotPlanner planner({}, TimePoint{});
    const auto parts = planner.split(TimePoint{}, WriterId("e1.1"), state.applied(), text);
    std::uint64_t sequence = history.envelopes().size();
    double partBytes = 0;
    for (const SnapshotPart &it : parts) {
        const Envelope envelope{WriterId("e1.1"), ++sequence, it};
        partBytes += static_cast<double>(encode(envelope).size());
        log.append({envelope});
        state.apply({log.tail(), envelope});
    }
    log.trim(history.envelopes().size() + 1);
    const CatchUpResult restored = catchUp(log, state.snapshot());
    FIREFLY_ASSERT(restored.restores == 1, "the reader of the trimmed log restored one snapshot");

    constexpr double NanosecondsPerSecond = 1e9;
    constexpr double MillisecondsPerSecond = 1e3;
    const double thousands = jobs / 1000.0;
    return {{"jobs", jobs},
            {"records", records},
            {"bytesPerRecord", bytes / records},
            {"encodeNsPerRecord", encoding * NanosecondsPerSecond / records},
            {"decodeNsPerRecord", decoding * NanosecondsPerSecond / records},
            {"foldNsPerRecord", folding * NanosecondsPerSecond / records},
            {"snapshotBytesPer1000Jobs", static_cast<double>(text.size()) / thousands},
            {"snapshotLogBytesPer1000Jobs", partBytes / thousands},
            {"snapshotMsPer1000Jobs", snapshotting * MillisecondsPerSecond / thousands},
            {"replayMsPer1000Jobs", replay.seconds * MillisecondsPerSecond / thousands},
            {"restoreMsPer1000Jobs", restored.seconds * MillisecondsPerSecond / thousands}};
}

} // namespace

int main(int argc, char **argv)
{
    const bool isJson = argc > 1 && std::string_view(argv[1]) == "--json";
    nlohmann::json rows = nlohmann::json::array();
    for (const int jobs : {1000, 4000, 16'000}) {
        rows.push_back(measure(jobs));
    }
    if (isJson) {
        std::cout << rows.dump(2) << '\n';
        return 0;
    }
    for (const auto &row : rows) {
        for (const auto &[name, value] : row.items()) {
            std::cout << name << ' ' << value << '\n';
        }
        std::cout << '\n';
    }
    return 0;
}
