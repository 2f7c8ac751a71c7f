#include "bench/entry/Platform.h"

#include "Adapters/WorkerJson.h"
#include "bench/entry/Meter.h"
#include "Records/Codec.h"

#include <nlohmann/json.hpp>

namespace firefly::bench {
namespace {

constexpr std::size_t RackSize = 8;
constexpr std::size_t ZoneCount = 30;
constexpr Resources WorkerCapacity{32000, 128'000, 0, 8};

template <typename Message>
std::int64_t jsonSize(const Message &message)
{
    return static_cast<std::int64_t>(nlohmann::json(message).dump().size());
}

WorkerInfo makeWorker(std::size_t n)
{
    const std::size_t rack = n / RackSize;
    WorkerInfo info;
    info.id = WorkerId("worker-" + std::to_string(n));
    info.zone = ZoneId("zone-" + std::to_string(rack % ZoneCount));
    info.rack = "rack-" + std::to_string(rack);
    info.endpoint = {"127.0.0.1", 1};
    info.capacity = WorkerCapacity;
    return info;
}

} // namespace

Platform::Platform(std::size_t workers, const EntryId &self)
    : m_shards((workers + RackSize - 1) / RackSize)
{
    m_list.entries.push_back({self, ZoneId("zone-0"), {"127.0.0.1", 1}, VmState::Live});
    for (std::size_t n = 0; n < workers; ++n) {
        const WorkerInfo info = makeWorker(n);
        m_list.workers.push_back(info);
        m_workers.emplace(std::piecewise_construct, std::forward_as_tuple(info.id),
                          std::forward_as_tuple(info.id, info.capacity, m_profile, "boot", n));
    }
}

WorkerSyncReply Platform::sync(const SendSync &send, TimePoint now)
{
    const std::int64_t begin = Meter::now();
    WorkerSyncReply reply = m_workers.at(send.worker.id).sync(send.sync, now);
    ++m_wire.syncs;
    m_wire.reports += static_cast<std::int64_t>(reply.tasks.size());
    m_wire.syncBytes += jsonSize(send.sync) + jsonSize(reply);
    m_wire.syncNanoseconds += Meter::now() - begin;
    return reply;
}

WorkerResult Platform::start(const SendStart &send, TimePoint now)
{
    ++m_wire.starts;
    m_wire.startBytes += jsonSize(send.task);
    const auto result = m_workers.at(send.worker.id).start(send.task, now);
    return result == standins::MessageResult::Done ? WorkerResult::Done : WorkerResult::Refused;
}

void Platform::stop(const SendStop &send, TimePoint now)
{
    m_workers.at(send.worker.id).stop(send.task, now);
}

void Platform::throttle(const SendThrottle &send, TimePoint now)
{
    m_workers.at(send.worker.id).throttle(send.task, now);
}

WorkerCallReply Platform::call(const SendCall &send, TimePoint now)
{
    standins::StandinWorker &worker = m_workers.at(send.worker.id);
    const auto ticket = worker.beginCall(send.call, now);
    if (ticket.result != standins::MessageResult::Done) {
        return {send.call.request, WorkerResult::Refused, {}};
    }
    worker.endCall(ticket.call, now);
    return {send.call.request, WorkerResult::Done, send.call.body};
}

void Platform::append(std::span<const Envelope> envelopes)
{
    std::vector<Envelope> batch;
    for (const Envelope &it : envelopes) {
        const std::string text = encode(it);
        ++m_wire.records;
        m_wire.recordBytes += static_cast<std::int64_t>(text.size());
        batch.push_back(decode(text));
    }
    m_log.append(batch);
}

LogRead Platform::read(const SendLogRead &send) const
{
    return m_log.read(send.from, send.maxRecords);
}

} // namespace firefly::bench
