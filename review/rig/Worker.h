#pragma once

#include "../../platform/standins/PartnerWire.h"
#include "Cell/CellMessages.h"
#include "Core/Clock.h"
#include "Http/HttpServer.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace firefly::review {

/// What the stand-in of a worker needs to know of a task; the payload of its job tells it.
struct TaskBehaviour
{
    std::int64_t milliCpu = 0;
    std::int64_t memoryMb = 0;
    std::int64_t minMs = 0; ///< Shortest time of work; 0 for a task that lasts.
    std::int64_t maxMs = 0; ///< Longest time of work; the task's number decides.

    std::string encode() const;
    static TaskBehaviour decode(const std::string &payload);
    /// Time of work of task \a index; 0 for a task that lasts.
    std::int64_t workMs(std::uint32_t index) const;
};

/// Called for each event at a worker that the judgement needs.
class WorkerEvents
{
public:
    virtual ~WorkerEvents() = default;
    virtual void onStarted(const std::string &worker, const TaskName &task, std::uint32_t run) = 0;
    virtual void onEnded(const std::string &worker, std::uint64_t number, const TaskName &task,
                         std::uint32_t run, RunEndReason reason) = 0;
    virtual void onLost(const std::string &worker, const TaskName &task, std::uint32_t run) = 0;
    virtual void onEndsForgotten(const std::string &worker, std::uint64_t upTo) = 0;
    virtual void onLeaseOver(const std::string &worker) = 0;
    virtual void onNote(const std::string &text) = 0;
};

/// Stand-in of one worker, as PROTOCOL.md describes it: it guards its capacity, keeps the highest
/// fencing token, runs tasks under a lease on its own steady clock, and lists at most 500 ended
/// runs at a time.
class Worker
{
public:
    Worker(asio::io_context &context, std::string id, Endpoint endpoint, WorkerEvents &events);

    void handle(const HttpRequest &request, HttpServer::Respond respond);
    /// Ends runs whose work is done or whose lease is over, and answers holds that are due.
    void tick(TimePoint now);
    /// The entry of the worker in the store.
    std::string entry();

    /// Ends the process: everything is lost, nothing answers.
    void crash();
    /// Starts the process again under the same id, with a new clock and new counts.
    void restart();

    const std::string &id() const { return m_id; }
    const Endpoint &endpoint() const { return m_endpoint; }
    bool isUp() const { return m_isUp; }
    std::size_t runningCount() const { return m_running.size(); }
    std::size_t endCount() const { return m_ended.size(); }
    bool hasRun(const TaskName &task) const { return m_running.contains(task); }

    std::string service = "roster-svc";
    std::string zone = "kochi";
    std::string kind = "a";
    std::string rack = "r1-1";
    ResourceVector capacity{32000, 128000, 0};
    /// While set, starts are refused with 503, without effect.
    bool refusesStarts = false;
    /// Decides about an order before it is carried out: a delay leaves it unanswered, and it is
    /// carried out so much later, if the worker named in it answers at its address then.
    std::function<std::optional<Duration>(const HttpRequest &)> lateBy;

private:
    struct Run
    {
        std::uint32_t number = 0;
        TaskBehaviour behaviour;
        TimePoint startedAt{};
        std::int64_t workMs = 0;
    };
    struct Hold
    {
        platform::SentOrder<RenewLease> sent;
        TimePoint deadline{};
        HttpServer::Respond respond;
    };

    void carryOut(const HttpRequest &request, const HttpServer::Respond &respond);
    OrderOutcome start(const StartTask &order, Epoch epoch, TimePoint now);
    OrderOutcome stop(const StopTask &order, Epoch epoch, TimePoint now);
    bool acceptEpoch(Epoch epoch);
    void extendLease(std::int64_t deadlineMs, TimePoint now);
    void end(const TaskName &task, RunEndReason reason);
    LeaseReport report(TimePoint now) const;
    void reply(const HttpServer::Respond &respond, OrderOutcome outcome) const;
    void replyWithReport(const HttpServer::Respond &respond, TimePoint now) const;
    std::int64_t clockMs(TimePoint now) const;
    ResourceVector freeRoom() const;

    asio::io_context &m_context;
    std::string m_id;
    Endpoint m_endpoint;
    WorkerEvents &m_events;
    bool m_isUp = true;
    std::int64_t m_bornUnixMs = 0;
    TimePoint m_bootAt{};
    std::uint64_t m_sequence = 0;
    Epoch m_highestEpoch = 0;
    std::int64_t m_deadlineMs = 0;
    bool m_hasLease = false;
    std::uint64_t m_lastEndNumber = 0;
    std::map<TaskName, Run> m_running;
    std::vector<EndedRun> m_ended;
    std::map<TaskName, std::uint32_t> m_highestRun;
    std::vector<Hold> m_holds;
};

} // namespace firefly::review
