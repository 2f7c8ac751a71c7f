#include "Node/OrderSender.h"

#include "Core/UnixTime.h"
#include "Node/CellDump.h"
#include "platform/Wire.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <utility>

namespace firefly {
namespace {

/// Identifies the run of an order; kept for the reply instead of the order with its payload.
struct OrderedRun
{
    WorkerId worker;
    TaskName task;
    std::uint32_t run = 0;
};

} // namespace

struct OrderSender::Private : std::enable_shared_from_this<Private>
{
    Private(CellScheduler &schedulerIn, platform::WorkerClient &workersIn, EventLog &logIn,
            Metrics &metricsIn, int cellIn, Epoch epochIn, std::function<void()> afterReplyIn,
            OnDelegation onDelegationIn)
        : scheduler(schedulerIn)
        , workers(workersIn)
        , log(logIn)
        , metrics(metricsIn)
        , cell(cellIn)
        , epoch(epochIn)
        , afterReply(std::move(afterReplyIn))
        , onDelegation(std::move(onDelegationIn))
    {}

    /// Wraps \a callback so that it does nothing once this ownership has ended.
    template <typename F>
    auto guarded(F callback)
    {
        return [weak = weak_from_this(), callback = std::move(callback)](const auto &...args) {
            const auto self = weak.lock();
            if (self && !self->isClosed) {
                callback(*self, args...);
            }
        };
    }

    std::optional<Endpoint> endpointOf(const WorkerId &id) const
    {
        const auto it = scheduler.state().workers.find(id.value());
        return it == scheduler.state().workers.end()
                   ? std::nullopt
                   : std::optional<Endpoint>(it->second->info.endpoint);
    }

    void send(const StartTask &order)
    {
        sendRun(order, "start", &platform::WorkerClient::start,
                [](Private &self, const OrderedRun &it, const OrderReply &reply, TimePoint now) {
                    self.scheduler.onStartReply(it.worker, it.task, it.run, reply, now);
                });
    }

    void send(const StopTask &order)
    {
        sendRun(order, "stop", &platform::WorkerClient::stop,
                [order](Private &self, const OrderedRun &, const OrderReply &reply, TimePoint now) {
                    self.scheduler.onStopOutcome(order, reply.outcome, now);
                });
    }

    void send(const PaceTask &order)
    {
        sendRun(order, "pace", &platform::WorkerClient::pace,
                [order](Private &self, const OrderedRun &, const OrderReply &reply, TimePoint now) {
                    self.scheduler.onPaceOutcome(order, reply.outcome, now);
                });
    }

    /// Sends an order about one run and passes the reply to \a onReply.
    template <typename Order, typename OnReplyHandler>
    void sendRun(const Order &order, const char *kind,
                 void (platform::WorkerClient::*call)(const Endpoint &, const Order &, Epoch,
                                                      platform::WorkerClient::OnReply),
                 OnReplyHandler onReply)
    {
        const auto endpoint = endpointOf(order.worker);
        if (!endpoint) {
            return;
        }
        metrics.add(std::string("firefly_task_") + kind + "s_total");
        (workers.*call)(*endpoint, order, order.fence,
                        guarded([ordered = OrderedRun{order.worker, order.task, order.run}, kind,
                                 onReply](Private &self, const OrderReply &reply) {
                            self.logRefusal(kind, ordered, reply.outcome);
                            onReply(self, ordered, reply, Clock::now());
                            self.afterReply();
                        }));
    }

    void send(const RenewLease &order)
    {
        const auto endpoint = endpointOf(order.worker);
        if (!endpoint) {
            return;
        }
        metrics.add("firefly_lease_renewals_total");
        workers.renew(*endpoint, order, order.fence,
                      guarded([worker = order.worker, sentAt = Clock::now()](
                                  Private &self, OrderOutcome outcome, const LeaseReport &report) {
                          if (outcome != OrderOutcome::Accepted) {
                              self.log.write(
                                  LogLevel::Warning, "cell", "renewal failed",
                                  {{"worker", worker.value()}, {"outcome", toString(outcome)}});
                          }
                          self.scheduler.onLeaseReport(worker, outcome, report, sentAt,
                                                       Clock::now(), unixMs());
                          self.afterReply();
                      }));
    }

    void send(const LogDecision &note)
    {
        log.write(LogLevel::Info, "cell", note.message, [&] {
            return nlohmann::json{{"job", note.task.job.value()},
                                  {"task", platform::formatTaskName(note.task)},
                                  {"run", note.run},
                                  {"worker", note.worker},
                                  {"cell", cell},
                                  {"epoch", epoch},
                                  {"detail", note.detail}};
        });
    }

    void send(const DelegateTasks &action)
    {
        onDelegation({action.guest, action.job, action.record});
    }

    void send(const RevokeDelegation &action)
    {
        onDelegation({action.guest, action.job, std::nullopt});
    }

    void send(const ReturnTasks &action)
    {
        onDelegation({action.home, action.job, action.record, true});
    }

    void logRefusal(const char *kind, const OrderedRun &order, OrderOutcome outcome)
    {
        if (outcome == OrderOutcome::Accepted) {
            return;
        }
        metrics.add("firefly_orders_refused_total");
        log.write(LogLevel::Info, "cell", std::string(kind) + " refused", [&] {
            return nlohmann::json{{"job", order.task.job.value()},
                                  {"task", platform::formatTaskName(order.task)},
                                  {"run", order.run},
                                  {"worker", order.worker.value()},
                                  {"cell", cell},
                                  {"outcome", toString(outcome)}};
        });
    }

    CellScheduler &scheduler;
    platform::WorkerClient &workers;
    EventLog &log;
    Metrics &metrics;
    int cell;
    Epoch epoch;
    std::function<void()> afterReply;
    OnDelegation onDelegation;
    bool isClosed = false;
};

OrderSender::OrderSender(CellScheduler &scheduler, platform::WorkerClient &workers, EventLog &log,
                         Metrics &metrics, int cell, Epoch epoch, std::function<void()> afterReply,
                         OnDelegation onDelegation)
    : m_private(std::make_shared<Private>(scheduler, workers, log, metrics, cell, epoch,
                                          std::move(afterReply), std::move(onDelegation)))
{}

OrderSender::~OrderSender() = default;

void OrderSender::close()
{
    m_private->isClosed = true;
}

void OrderSender::sendAll()
{
    for (CellAction &action : m_private->scheduler.takeActions()) {
        std::visit([this](const auto &order) { m_private->send(order); }, action);
    }
}

} // namespace firefly
