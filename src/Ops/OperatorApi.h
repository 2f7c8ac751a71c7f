#pragma once

#include "Ops/OperatorBackend.h"
#include "Ops/OperatorMessages.h"
#include "Ops/OperatorReplies.h"
#include "Ops/OperatorRequests.h"

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace firefly {

/// Handles the requests of the operator API.
///
/// Every request needs the bearer token.  Only these methods and paths exist:
///
///     GET    /ops/lists/plans           GET    /ops/inforce
///     PUT    /ops/lists/plans           POST   /ops/drain
///     GET    /ops/lists/limits          GET    /ops/dump
///     PUT    /ops/lists/limits          GET    /ops/metrics
///     POST   /ops/jobs                  POST   /ops/planned
///     GET    /ops/jobs/{id}             GET    /ops/explain/job/{id}
///     DELETE /ops/jobs/{id}             GET    /ops/explain/worker/{id}
///
/// Status: 200 success, 400 malformed body, 401 missing or wrong token, 403 command rejected, 404
/// unknown path or id, 405 method not allowed, 409 conflict, with both versions of the list, 422
/// invalid list, with the findings, 503 log unreachable, retry later.
template <OperatorBackend Backend>
class OperatorApi
{
public:
    /// \a backend must outlive this object and every reply that is still pending.
    OperatorApi(Backend &backend, std::string token)
        : m_backend(backend)
        , m_token(std::move(token))
    {}

    /// Handles \a request.  Calls \a reply exactly once, before returning or later.
    void handle(const OperatorRequest &request, const OperatorReply &reply);

private:
    void dispatch(const internal::OperatorRoute &route, const std::string &body,
                  const OperatorReply &reply);
    void proposePlans(const std::string &body, const OperatorReply &reply);
    void proposeLimits(const std::string &body, const OperatorReply &reply);
    /// Returns a callback that replies with the result of the edit in \a body.
    template <typename List>
    EditCallback<List> makeEditCallback(const std::string &body, const OperatorReply &reply);
    void submitJob(const std::string &body, const OperatorReply &reply);
    void switchPlannedWork(const std::string &body, const OperatorReply &reply);

    Backend &m_backend;
    std::string m_token;
};

template <OperatorBackend Backend>
void OperatorApi<Backend>::handle(const OperatorRequest &request, const OperatorReply &reply)
{
    if (!internal::isAuthorised(request.token, m_token)) {
        reply(internal::errorResponse(401, "token missing or wrong"));
        return;
    }
    const internal::OperatorRoute route = internal::findRoute(request.method, request.path);
    try {
        dispatch(route, request.body, reply);
    } catch (const ListError &e) {
        reply(internal::findingsResponse(e.findings()));
    } catch (const internal::BadRequest &e) {
        reply(internal::errorResponse(400, e.what()));
    }
}

template <OperatorBackend Backend>
void OperatorApi<Backend>::dispatch(const internal::OperatorRoute &route, const std::string &body,
                                    const OperatorReply &reply)
{
    using internal::OperatorAction;
    switch (route.action) {
    case OperatorAction::ShowPlans:
        return reply(internal::listResponse(m_backend.lists().plans));
    case OperatorAction::ShowLimits:
        return reply(internal::listResponse(m_backend.lists().limits));
    case OperatorAction::EditPlans:
        return proposePlans(body, reply);
    case OperatorAction::EditLimits:
        return proposeLimits(body, reply);
    case OperatorAction::ShowInForce:
        return reply(internal::inForceResponse(m_backend.inForce()));
    case OperatorAction::Drain:
        m_backend.drain();
        return reply(internal::doneResponse());
    case OperatorAction::Dump:
        return reply(internal::jsonResponse(m_backend.dump()));
    case OperatorAction::Metrics:
        return reply(internal::textResponse(m_backend.metrics()));
    case OperatorAction::SubmitJob:
        return submitJob(body, reply);
    case OperatorAction::ShowJob:
        return reply(internal::jsonResponse(m_backend.jobStatus(JobId(route.id))));
    case OperatorAction::CancelJob:
        return m_backend.cancelJob(JobId(route.id), internal::makeCommandCallback(reply));
    case OperatorAction::SwitchPlannedWork:
        return switchPlannedWork(body, reply);
    case OperatorAction::ExplainJob:
        return reply(internal::jsonResponse(m_backend.explainJob(JobId(route.id))));
    case OperatorAction::ExplainWorker:
        return reply(internal::jsonResponse(m_backend.explainWorker(WorkerId(route.id))));
    case OperatorAction::WrongMethod:
        return reply(internal::errorResponse(405, "method not allowed here"));
    case OperatorAction::NotFound:
        return reply(internal::errorResponse(404, "no such path"));
    }
}

template <OperatorBackend Backend>
void OperatorApi<Backend>::proposePlans(const std::string &body, const OperatorReply &reply)
{
    const OperatorLists &lists = m_backend.lists();
    PlansEdited edit = internal::readEdit<PlansList>(body, lists);
    const EditCallback<PlansList> done = makeEditCallback<PlansList>(body, reply);
    if (edit.baseVersion < lists.plans.version) {
        done(EditConflict<PlansList>{edit.baseVersion, edit.list, lists.plans});
        return;
    }
    m_backend.proposePlans(std::move(edit), done);
}

template <OperatorBackend Backend>
void OperatorApi<Backend>::proposeLimits(const std::string &body, const OperatorReply &reply)
{
    const OperatorLists &lists = m_backend.lists();
    LimitsEdited edit = internal::readEdit<LimitsList>(body, lists);
    const EditCallback<LimitsList> done = makeEditCallback<LimitsList>(body, reply);
    if (edit.baseVersion < lists.limits.version) {
        done(EditConflict<LimitsList>{edit.baseVersion, edit.list, lists.limits});
        return;
    }
    m_backend.proposeLimits(std::move(edit), done);
}

template <OperatorBackend Backend>
template <typename List>
EditCallback<List> OperatorApi<Backend>::makeEditCallback(const std::string &body,
                                                          const OperatorReply &reply)
{
    return [this, body, reply](EditResult<List> result) {
        if (std::holds_alternative<EditInvalid>(result)) {
            result = EditInvalid{internal::editFindings<List>(body, m_backend.lists())};
        }
        reply(internal::toResponse(result));
    };
}

template <OperatorBackend Backend>
void OperatorApi<Backend>::submitJob(const std::string &body, const OperatorReply &reply)
{
    m_backend.submitJob(internal::readJobSubmission(body), internal::makeCommandCallback(reply));
}

template <OperatorBackend Backend>
void OperatorApi<Backend>::switchPlannedWork(const std::string &body, const OperatorReply &reply)
{
    PlannedWorkSwitched planned = internal::readPlannedWork(body);
    const auto &planOfCustomer = m_backend.lists().plans.list.planOfCustomer;
    if (!planned.running && !planOfCustomer.contains(planned.customer.value())) {
        reply(internal::errorResponse(404, "no customer of this name holds a plan"));
        return;
    }
    m_backend.switchPlannedWork(std::move(planned), internal::makeCommandCallback(reply));
}

} // namespace firefly
