#include "Worker.h"

#include "../../platform/Wire.h"
#include "Core/UnixTime.h"

#include <asio/basic_waitable_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace firefly::review {
namespace {

using nlohmann::json;

/// Ended runs in one answer.
constexpr std::size_t MaxListedEnds = 500;
/// Longest lease that a worker grants; a longer one is shortened.
constexpr std::int64_t HoldMaxMs = 6000;
/// Time from the start of a task that lasts until it is at work.
constexpr std::int64_t StartupMs = 300;
constexpr int FullPercent = 100;

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

std::string TaskBehaviour::encode() const
{
    return json{{"cpu", milliCpu}, {"mem_mb", memoryMb}, {"min_ms", minMs}, {"max_ms", maxMs}}
        .dump();
}

TaskBehaviour TaskBehaviour::decode(const std::string &payload)
{
    const json object = json::parse(payload);
    return {object.at("cpu").get<std::int64_t>(), object.at("mem_mb").get<std::int64_t>(),
            object.at("min_ms").get<std::int64_t>(), object.at("max_ms").get<std::int64_t>()};
}

std::int64_t TaskBehaviour::workMs(std::uint32_t index) const
{
    constexpr std::int64_t Stride = 7919; // Spreads the times of neighbouring tasks.
    const std::int64_t span = maxMs - minMs + 1;
    return maxMs == 0 ? 0 : minMs + (index * Stride) % span;
}

Worker::Worker(asio::io_context &context, std::string id, Endpoint endpoint, WorkerEvents &events)
    : m_context(context)
    , m_id(std::move(id))
    , m_endpoint(std::move(endpoint))
    , m_events(events)
    , m_bornUnixMs(unixMs())
    , m_bootAt(Clock::now())
{}

std::int64_t Worker::clockMs(TimePoint now) const
{
    return toMs(now - m_bootAt);
}

std::string Worker::entry()
{
    return json{
        {"service", service},
        {"address", m_endpoint.address + ":" + std::to_string(m_endpoint.port)},
        {"zone", zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold_remaining_ms", 0},
        {"capacity", {{"cpu", capacity.milliCpu}, {"mem_mb", capacity.memoryMb}, {"gpu", 0}}},
        {"labels", {kind, rack}},
        {"born", m_bornUnixMs},
        {"clock_ms", clockMs(Clock::now())},
        {"sequence", ++m_sequence}}
        .dump();
}

void Worker::crash()
{
    for (const auto &[task, run] : m_running) {
        m_events.onLost(m_id, task, run.number);
    }
    m_isUp = false;
    m_running.clear();
    m_ended.clear();
    m_highestRun.clear();
    m_holds.clear();
    m_highestEpoch = 0;
    m_deadlineMs = 0;
    m_hasLease = false;
    m_lastEndNumber = 0;
    m_sequence = 0;
}

void Worker::restart()
{
    m_isUp = true;
    m_bornUnixMs = unixMs();
    m_bootAt = Clock::now();
}

void Worker::handle(const HttpRequest &request, HttpServer::Respond respond)
{
    if (const auto delay = lateBy ? lateBy(request) : std::nullopt) {
        m_events.onNote(m_id + " leaves " + request.path + " unanswered, to be carried out "
                        + std::to_string(toMs(*delay)) + " ms later: " + request.body);
        const auto timer = std::make_shared<asio::basic_waitable_timer<Clock>>(m_context, *delay);
        timer->async_wait(
            [this, timer, request, respond = std::move(respond)](asio::error_code ec) {
                if (!ec && m_isUp) {
                    m_events.onNote(m_id + " carries out the late " + request.path + ": "
                                    + request.body);
                    carryOut(request, respond);
                }
            });
        return;
    }
    if (m_isUp) {
        carryOut(request, respond);
    }
}

void Worker::carryOut(const HttpRequest &request, const HttpServer::Respond &respond)
{
    const TimePoint now = Clock::now();
    tick(now);
    try {
        if (request.header("x-target-instance") != m_id) {
            reply(respond, OrderOutcome::OtherIncarnation);
        } else if (request.path == "/run-start") {
            const auto sent = platform::decodeStart(request.body);
            reply(respond,
                  refusesStarts ? OrderOutcome::Unhealthy : start(sent.order, sent.epoch, now));
        } else if (request.path == "/run-stop") {
            const auto sent = platform::decodeStop(request.body);
            reply(respond, stop(sent.order, sent.epoch, now));
        } else if (request.path == "/pace") {
            const auto sent = platform::decodePace(request.body);
            reply(respond,
                  acceptEpoch(sent.epoch) ? OrderOutcome::Accepted : OrderOutcome::FencedOff);
        } else if (request.path == "/hold") {
            const auto sent = platform::decodeRenewal(request.body);
            if (!acceptEpoch(sent.epoch)) {
                reply(respond, OrderOutcome::FencedOff);
                return;
            }
            if (sent.order.deadlineMs) {
                extendLease(*sent.order.deadlineMs, now);
            }
            if (sent.order.acknowledgedEndNumber > 0) {
                m_events.onEndsForgotten(m_id, sent.order.acknowledgedEndNumber);
            }
            std::erase_if(m_ended, [&sent](const EndedRun &it) {
                return it.number <= sent.order.acknowledgedEndNumber;
            });
            m_holds.push_back({sent, now + sent.order.wait, respond});
            tick(now);
        } else {
            reply(respond, OrderOutcome::Invalid);
        }
    } catch (const platform::WireError &) {
        reply(respond, OrderOutcome::Invalid);
    }
}

bool Worker::acceptEpoch(Epoch epoch)
{
    if (epoch < m_highestEpoch) {
        return false;
    }
    m_highestEpoch = epoch;
    return true;
}

void Worker::extendLease(std::int64_t deadlineMs, TimePoint now)
{
    m_deadlineMs = std::max(m_deadlineMs, std::min(deadlineMs, clockMs(now) + HoldMaxMs));
}

ResourceVector Worker::freeRoom() const
{
    ResourceVector room = capacity;
    for (const auto &[task, run] : m_running) {
        room.subtract({run.behaviour.milliCpu, run.behaviour.memoryMb, 0});
    }
    return room;
}

OrderOutcome Worker::start(const StartTask &order, Epoch epoch, TimePoint now)
{
    if (!acceptEpoch(epoch)) {
        return OrderOutcome::FencedOff;
    }
    if (order.deadlineMs <= clockMs(now)) {
        return OrderOutcome::Late;
    }
    extendLease(order.deadlineMs, now);
    const auto it = m_running.find(order.task);
    if (it != m_running.end() && it->second.number == order.run) {
        return OrderOutcome::Accepted;
    }
    if (it != m_running.end() || m_highestRun[order.task] >= order.run) {
        return OrderOutcome::OldRun;
    }
    const TaskBehaviour behaviour = TaskBehaviour::decode(order.payload);
    if (!freeRoom().fits({behaviour.milliCpu, behaviour.memoryMb, 0})) {
        return OrderOutcome::NoRoom;
    }
    m_running[order.task] = {order.run, behaviour, now, behaviour.workMs(order.task.index)};
    m_events.onStarted(m_id, order.task, order.run);
    return OrderOutcome::Accepted;
}

OrderOutcome Worker::stop(const StopTask &order, Epoch epoch, TimePoint /*now*/)
{
    if (!acceptEpoch(epoch)) {
        return OrderOutcome::FencedOff;
    }
    auto &highest = m_highestRun[order.task];
    highest = std::max(highest, order.run);
    const auto it = m_running.find(order.task);
    if (it != m_running.end() && it->second.number == order.run) {
        end(order.task, RunEndReason::Stopped);
    }
    return OrderOutcome::Accepted;
}

void Worker::end(const TaskName &task, RunEndReason reason)
{
    const Run run = m_running.at(task);
    m_running.erase(task);
    auto &highest = m_highestRun[task];
    highest = std::max(highest, run.number);
    m_ended.push_back({++m_lastEndNumber, task, run.number, reason, ""});
    m_events.onEnded(m_id, m_lastEndNumber, task, run.number, reason);
}

LeaseReport Worker::report(TimePoint now) const
{
    LeaseReport report;
    report.clockMs = clockMs(now);
    report.incarnationStartUnixMs = m_bornUnixMs;
    for (const auto &[task, run] : m_running) {
        RunningTask row;
        row.task = task;
        row.run = run.number;
        const std::int64_t total = run.workMs > 0 ? run.workMs : StartupMs;
        row.percent = static_cast<int>(
            std::min<std::int64_t>(FullPercent, FullPercent * toMs(now - run.startedAt) / total));
        row.usage = run.workMs > 0 ? static_cast<double>(run.behaviour.milliCpu) : 1.0;
        report.running.push_back(std::move(row));
    }
    const auto listed = static_cast<std::ptrdiff_t>(std::min(m_ended.size(), MaxListedEnds));
    report.ended.assign(m_ended.begin(), m_ended.begin() + listed);
    return report;
}

void Worker::reply(const HttpServer::Respond &respond, OrderOutcome outcome) const
{
    HttpResponse response;
    response.status = platform::httpStatusOf(outcome);
    response.body = platform::encodeReply(outcome, clockMs(Clock::now()));
    respond(std::move(response));
}

void Worker::replyWithReport(const HttpServer::Respond &respond, TimePoint now) const
{
    HttpResponse response;
    response.body = platform::encodeReport(report(now));
    respond(std::move(response));
}

void Worker::tick(TimePoint now)
{
    if (!m_isUp) {
        return;
    }
    const bool isLapsed = clockMs(now) > m_deadlineMs;
    if (std::exchange(m_hasLease, !isLapsed) && isLapsed) {
        m_events.onLeaseOver(m_id);
    }
    std::vector<std::pair<TaskName, RunEndReason>> over;
    for (const auto &[task, run] : m_running) {
        if (run.workMs > 0 && toMs(now - run.startedAt) >= run.workMs) {
            over.emplace_back(task, RunEndReason::Done);
        } else if (isLapsed) {
            over.emplace_back(task, RunEndReason::Lapsed);
        }
    }
    for (const auto &[task, reason] : over) {
        end(task, reason);
    }
    std::vector<Hold> due;
    std::erase_if(m_holds, [&](Hold &it) {
        if (m_ended.empty() && now < it.deadline) {
            return false;
        }
        due.push_back(std::move(it));
        return true;
    });
    for (const Hold &it : due) {
        replyWithReport(it.respond, now);
    }
}

} // namespace firefly::review
