#include "Node/DelegationSender.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include <utility>

namespace firefly {

struct DelegationSender::Private : std::enable_shared_from_this<Private>
{
    Private(asio::io_context &contextIn, CellScheduler &schedulerIn, EventLog &logIn,
            Metrics &metricsIn, SendDelegation transportIn, std::function<void()> afterReplyIn)
        : context(contextIn)
        , scheduler(schedulerIn)
        , log(logIn)
        , metrics(metricsIn)
        , transport(std::move(transportIn))
        , afterReply(std::move(afterReplyIn))
    {}

    void send(const DelegationRequest &request)
    {
        metrics.add(metricOf(request));
        // A receiver in this process may answer at once.
        transport(request,
                  [weak = weak_from_this(), &context = context, cell = request.cell,
                   job = request.job, isReturn = request.isReturn](const CallerReply &reply) {
                      asio::post(context, [weak, cell, job, isReturn, reply] {
                          if (const auto self = weak.lock()) {
                              self->handleReply(cell, job, isReturn, reply);
                          }
                      });
                  });
    }

    static const char *metricOf(const DelegationRequest &request)
    {
        if (request.isReturn) {
            return "firefly_delegations_total{request=\"return\"}";
        }
        return request.record ? "firefly_delegations_total{request=\"delegate\"}"
                              : "firefly_delegations_total{request=\"revoke\"}";
    }

    void handleReply(int cell, const JobId &job, bool isReturn, const CallerReply &reply)
    {
        const bool isAccepted = reply.outcome == CallerOutcome::Done;
        if (!isAccepted) {
            metrics.add("firefly_delegations_failed_total");
            log.write(LogLevel::Warning, "cell", isReturn ? "return failed" : "delegation failed",
                      [&] {
                          return nlohmann::json{{isReturn ? "home" : "guest", cell},
                                                {"job", job.value()},
                                                {"outcome", toString(reply.outcome)},
                                                {"detail", reply.detail}};
                      });
        }
        if (isReturn) {
            scheduler.onReturnReply(job, isAccepted, Clock::now());
        } else {
            scheduler.onDelegationReply(job, cell, isAccepted, Clock::now());
        }
        afterReply();
    }

    asio::io_context &context;
    CellScheduler &scheduler;
    EventLog &log;
    Metrics &metrics;
    SendDelegation transport;
    std::function<void()> afterReply;
};

DelegationSender::DelegationSender(asio::io_context &context, CellScheduler &scheduler,
                                   EventLog &log, Metrics &metrics, SendDelegation transport,
                                   std::function<void()> afterReply)
    : m_private(std::make_shared<Private>(context, scheduler, log, metrics, std::move(transport),
                                          std::move(afterReply)))
{}

DelegationSender::~DelegationSender() = default;

void DelegationSender::send(const DelegationRequest &request)
{
    m_private->send(request);
}

} // namespace firefly
