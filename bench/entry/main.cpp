/// \file Measures time, memory and message sizes of one entry that owns all workers, by fleet size.

#include "Adapters/WorkerJson.h"
#include "bench/entry/EntryRun.h"
#include "Peers/WireCodec.h"
#include "Records/Codec.h"

#include <capnp/message.h>
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace firefly::bench {
namespace {

constexpr const char *Usage = R"(Measures one entry that owns every worker of a fleet.

Usage:
  entry [--json] [--workers=LIST] [--budget=SECONDS]

Options:
  --json            Print one JSON document in place of lines.
  --workers=LIST    Fleet sizes [default: 50,500,5000,29000].
  --budget=SECONDS  Longest time to take over the workers of one fleet [default: 60].
)";

/// Upper bound of the ticks from the start to the first sync.
constexpr std::size_t MaxStartupSteps = 1200;
constexpr std::size_t SyncsPerStep = 16;
constexpr std::size_t TakeOverSyncsPerStep = 256;
constexpr std::size_t MeasuredSteps = 30;
constexpr std::size_t Heartbeats = 30;
constexpr std::size_t Calls = 500;
constexpr std::size_t MaxActiveCalls = 200;
constexpr std::size_t ShortJobs = 64;
constexpr std::int64_t ShortRuntimeMs = 50;
constexpr std::size_t MaxJobSteps = 200;
constexpr std::int64_t LongRuntimeMs = 3'600'000;
constexpr std::size_t TasksPerWorker = 13;
constexpr std::size_t MaxTasks = 5000;
constexpr std::size_t OtherWriterRecords = 2000;
constexpr std::size_t BodyBytes = 256;

using Seconds = std::chrono::duration<double>;

double perItem(double sum, std::size_t n)
{
    return n == 0 ? 0 : sum / static_cast<double>(n);
}

double heapPerItem(std::int64_t before, std::size_t n)
{
    return perItem(static_cast<double>(HeapCount::bytesInUse() - before), n);
}

std::size_t heartbeatBytes(const Heartbeat &heartbeat)
{
    capnp::MallocMessageBuilder message;
    internal::writeHeartbeat(heartbeat, message.initRoot<wire::Heartbeat>());
    return message.sizeInWords() * sizeof(capnp::word);
}

/// Runs the measurements of one fleet one after another.
class FleetBench
{
public:
    FleetBench(std::size_t workers, Seconds budget)
        : m_workers(workers)
        , m_budget(budget)
        , m_entry(workers)
    {}

    nlohmann::json measure()
    {
        takeOverWorkers();
        measureSteps("idle");
        measureHeartbeat();
        measureCalls("call");
        measureRecordProcessing();
        measureJobs();
        measureTasks();
        measureSteps("withTasks");
        measureActiveCalls();
        measureWithPeer();
        return m_json;
    }

private:
    void takeOverWorkers()
    {
        const std::int64_t heap = HeapCount::bytesInUse();
        const auto begin = std::chrono::steady_clock::now();
        for (std::size_t n = 0; n < MaxStartupSteps || m_entry.openWorkers() < m_workers; ++n) {
            m_entry.step(TakeOverSyncsPerStep);
            if (m_entry.openWorkers() == m_workers
                || std::chrono::steady_clock::now() - begin > m_budget) {
                break;
            }
        }
        m_json["workers"] = m_workers;
        m_json["shards"] = m_entry.platform().shards();
        m_json["openWorkers"] = m_entry.openWorkers();
        m_json["takeOverSeconds"] = Seconds(std::chrono::steady_clock::now() - begin).count();
        m_json["bytesPerWorker"] = heapPerItem(heap, m_workers);
        measureVmListParsing();
        m_json["listsInForce"] = m_entry.bringListsIntoForce();
    }

    /// Measures the size of the VM list as JSON and the time to parse it.
    void measureVmListParsing()
    {
        const std::string text = nlohmann::json(m_entry.platform().vmList()).dump();
        const std::int64_t begin = Meter::now();
        const auto list = nlohmann::json::parse(text).get<VmList>();
        m_json["vmListParseNs"] = Meter::now() - begin;
        m_json["vmListBytes"] = text.size();
        m_json["vmListWorkers"] = list.workers.size();
    }

    void measureSteps(const std::string &name)
    {
        Meter &meter = m_entry.meter();
        meter.reset();
        for (std::size_t n = 0; n < VmListSteps; ++n) {
            m_entry.step(0);
        }
        m_json[name] = {{"vmListNs", meter.sum(Operation::VmList).mean()},
                        {"vmLists", meter.sum(Operation::VmList).count}};
        meter.reset();
        m_entry.platform().wire() = {};
        for (std::size_t n = 0; n < MeasuredSteps; ++n) {
            m_entry.step(SyncsPerStep);
        }
        const WireTraffic &wire = m_entry.platform().wire();
        m_json[name].update({{"tickNs", meter.sum(Operation::Tick).mean()},
                             {"syncReplyNs", meter.sum(Operation::SyncReply).mean()},
                             {"syncs", meter.sum(Operation::SyncReply).count},
                             {"logReadNs", meter.sum(Operation::LogRead).mean()},
                             {"bytesPerSync", perItem(static_cast<double>(wire.syncBytes),
                                                      static_cast<std::size_t>(wire.syncs))},
                             {"workerSyncNs", perItem(static_cast<double>(wire.syncNanoseconds),
                                                      static_cast<std::size_t>(wire.syncs))},
                             {"reportsPerSync", perItem(static_cast<double>(wire.reports),
                                                        static_cast<std::size_t>(wire.syncs))}});
    }

    void measureHeartbeat()
    {
        m_entry.meter().reset();
        for (std::size_t n = 0; n < Heartbeats; ++n) {
            m_entry.handleHeartbeat();
        }
        m_json["heartbeatNs"] = m_entry.meter().sum(Operation::Heartbeat).mean();
        m_json["heartbeatBytes"] = heartbeatBytes(m_entry.heartbeat());
    }

    void measureCalls(const std::string &name)
    {
        m_entry.meter().reset();
        std::size_t answered = 0;
        for (std::size_t n = 0; n < Calls; ++n) {
            answered += m_entry.call(BodyBytes) ? 1 : 0;
        }
        const auto &sum = m_entry.meter().sum(Operation::Call);
        m_json[name] = {{"ns", perItem(static_cast<double>(sum.nanoseconds), Calls)},
                        {"answered", answered}};
    }

    void measureRecordProcessing()
    {
        m_entry.step(0);
        m_entry.appendRecordsOfOtherWriter(OtherWriterRecords);
        m_entry.meter().reset();
        m_entry.step(0);
        m_entry.step(0);
        const auto &sum = m_entry.meter().sum(Operation::LogRead);
        m_json["foldRecordNs"] = perItem(static_cast<double>(sum.nanoseconds), OtherWriterRecords);
    }

    void measureJobs()
    {
        m_entry.meter().reset();
        m_entry.platform().wire() = {};
        m_submittedJobs = ShortJobs;
        for (std::size_t n = 0; n < ShortJobs; ++n) {
            m_entry.submitJob(n, ShortRuntimeMs);
        }
        std::size_t finished = 0;
        for (std::size_t n = 0; n < MaxJobSteps && finished < ShortJobs; ++n) {
            m_entry.step(0);
            m_entry.answerSyncsOfStartedWorkers();
            finished = m_entry.countJobs("finished", 0, ShortJobs);
        }
        const Meter &meter = m_entry.meter();
        const double meanLogReadNs = meter.sum(Operation::LogRead).mean() - idleLogReadNs();
        const double logReadNs =
            meanLogReadNs * static_cast<double>(meter.sum(Operation::LogRead).count);
        const auto otherNs = meter.sum(Operation::Command).nanoseconds
                             + meter.sum(Operation::StartReply).nanoseconds
                             + meter.sum(Operation::AppendReply).nanoseconds;
        const WireTraffic &wire = m_entry.platform().wire();
        m_json["jobsFinished"] = finished;
        m_json["jobNs"] = perItem(logReadNs + static_cast<double>(otherNs), ShortJobs);
        m_json["recordsPerJob"] = perItem(static_cast<double>(wire.records), ShortJobs);
        m_json["bytesPerRecord"] =
            perItem(static_cast<double>(wire.recordBytes), static_cast<std::size_t>(wire.records));
        m_json["bytesPerStart"] =
            perItem(static_cast<double>(wire.startBytes), static_cast<std::size_t>(wire.starts));
    }

    double idleLogReadNs() const { return m_json["idle"]["logReadNs"].get<double>(); }

    void measureTasks()
    {
        const std::size_t tasks = std::min(m_workers * TasksPerWorker, MaxTasks);
        const std::size_t from = m_submittedJobs;
        const std::int64_t heap = HeapCount::bytesInUse();
        m_submittedJobs += tasks;
        m_entry.meter().reset();
        for (std::size_t n = from; n < m_submittedJobs; ++n) {
            m_entry.submitJob(n, LongRuntimeMs);
        }
        const auto started = [&] {
            return static_cast<std::size_t>(m_entry.meter().sum(Operation::StartReply).count);
        };
        for (std::size_t n = 0; n < MaxTaskStartSteps && started() < tasks; ++n) {
            m_entry.step(0);
        }
        m_json["tasks"] = tasks;
        m_json["tasksStarted"] = started();
        m_json["bytesPerTask"] = heapPerItem(heap, tasks);
    }

    void measureActiveCalls()
    {
        const std::size_t calls = std::min(m_workers * 4, MaxActiveCalls);
        const std::int64_t heap = HeapCount::bytesInUse();
        for (std::size_t n = 0; n < calls; ++n) {
            m_entry.beginCall(BodyBytes);
        }
        m_json["activeCalls"] = m_entry.activeCalls();
        m_json["bytesPerActiveCall"] = heapPerItem(heap, calls);
    }

    /// Measures calls and ticks with a peer that owns as many shards but has no free capacity.
    void measureWithPeer()
    {
        m_entry.addPeer();
        for (std::size_t n = 0; n < PeerWarmUpSteps; ++n) {
            m_entry.step(0);
        }
        measureCalls("callWithPeer");
        m_entry.meter().reset();
        for (std::size_t n = 0; n < MeasuredSteps; ++n) {
            m_entry.step(0);
        }
        m_json["tickWithPeerNs"] = m_entry.meter().sum(Operation::Tick).mean();
    }

    static constexpr std::size_t VmListSteps = 51;
    static constexpr std::size_t PeerWarmUpSteps = 120;
    static constexpr std::size_t MaxTaskStartSteps = 400;

    std::size_t m_workers;
    Seconds m_budget;
    EntryRun m_entry;
    std::size_t m_submittedJobs = 0;
    nlohmann::json m_json;
};

/// Measures size and encoding and decoding time of the most frequent log records.
nlohmann::json measureRecords()
{
    constexpr std::size_t Rounds = 10'000;
    const Resources size{1000, 1024, 0, 0};
    const JobId job("entry-0.a1b2c3d4e5f60718.job-1234");
    const ShardId shard("zone-0/rack-120");
    const CustomerId customer("customer");
    const std::string body(BodyBytes, 'x');
    const std::vector<Record> records = {
        JobSubmitted{job, {customer, "rebuild", size, 60'000, body}},
        JobPlaced{job, 1, WorkerId("worker-12345"), shard, 123'456'789},
        JobFinished{job, 1, 123'456'789, true, body},
        CallIntended{customer, "key-0123456789", EntryId("entry-0"), WriterId("entry-0.a1b2c3d4"),
                     RequestId("entry-0.a1b2c3d4.123456"), 1'234'567'890'123},
        CallConcluded{customer, "key-0123456789", RequestId("entry-0.a1b2c3d4.123456"),
                      Outcome::Answer, body}};
    auto json = nlohmann::json::object();
    for (const Record &it : records) {
        const Envelope envelope{WriterId("entry-0.a1b2c3d4e5f60718"), 1'234'567, it};
        const std::string text = encode(envelope);
        const std::int64_t begin = Meter::now();
        for (std::size_t n = 0; n < Rounds; ++n) {
            static_cast<void>(encode(envelope));
        }
        const std::int64_t encoded = Meter::now();
        for (std::size_t n = 0; n < Rounds; ++n) {
            static_cast<void>(decode(text));
        }
        const std::int64_t decoded = Meter::now();
        json[std::string(typeName(it))] = {
            {"bytes", text.size()},
            {"encodeNs", perItem(static_cast<double>(encoded - begin), Rounds)},
            {"decodeNs", perItem(static_cast<double>(decoded - encoded), Rounds)}};
    }
    return json;
}

void printLines(const nlohmann::json &json)
{
    const nlohmann::json flat = json.flatten();
    for (const auto &[name, value] : flat.items()) {
        std::cout << fmt::format("{:48} {}\n", name, value.dump());
    }
}

int run(int argc, char **argv)
{
    const auto options = docopt::docopt(Usage, {argv + 1, argv + argc});
    const Seconds budget(std::stod(options.at("--budget").asString()));
    std::istringstream sizes(options.at("--workers").asString());
    nlohmann::json json = {{"records", measureRecords()}, {"fleets", nlohmann::json::array()}};
    for (std::string size; std::getline(sizes, size, ',');) {
        json["fleets"].push_back(FleetBench(std::stoul(size), budget).measure());
    }
    if (options.at("--json").asBool()) {
        std::cout << json.dump(2) << '\n';
    } else {
        printLines(json);
    }
    return 0;
}

} // namespace
} // namespace firefly::bench

int main(int argc, char **argv)
{
    return firefly::bench::run(argc, argv);
}
