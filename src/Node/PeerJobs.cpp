#include "Node/PeerJobs.h"

#include "Core/Assert.h"

#include <nlohmann/json.hpp>

namespace firefly {
namespace {

using nlohmann::json;

constexpr const char *JobsPath = "/jobs/";
constexpr const char *PolicyHeader = "Firefly-Policy";

std::string encodePolicy(const QueuePolicy &policy)
{
    return json::array({policy.queue.value(), policy.service, policy.priority, policy.maxAttempts,
                        policy.stretch, policy.targetLatencyMs})
        .dump();
}

QueuePolicy decodePolicy(std::string_view text)
{
    const json row = json::parse(text);
    QueuePolicy policy;
    policy.queue = QueueName(row.at(0).get<std::string>());
    row.at(1).get_to(policy.service);
    row.at(2).get_to(policy.priority);
    row.at(3).get_to(policy.maxAttempts);
    row.at(4).get_to(policy.stretch);
    row.at(5).get_to(policy.targetLatencyMs);
    return policy;
}

std::string encodeReply(const CallerReply &reply)
{
    return json::array({static_cast<int>(reply.verdict), static_cast<int>(reply.state),
                        reply.pending, reply.detail})
        .dump();
}

CallerReply decodeReply(const HttpResult &result)
{
    if (result.state == ExchangeState::NotSent) {
        return {CallerVerdict::NotRun, JobState::Queued, 0, "the owner is unreachable"};
    }
    const json row = json::parse(result.body, nullptr, false);
    const bool isReply = result.isSuccess() && row.is_array() && row.size() == 4;
    if (!isReply) {
        return {CallerVerdict::Unknown, JobState::Queued, 0, "no answer from the owner"};
    }
    CallerReply reply;
    reply.verdict = static_cast<CallerVerdict>(row.at(0).get<int>());
    reply.state = static_cast<JobState>(row.at(1).get<int>());
    row.at(2).get_to(reply.pending);
    row.at(3).get_to(reply.detail);
    return reply;
}

const char *methodOf(CallerVerb verb)
{
    switch (verb) {
    case CallerVerb::Submit:
        return "POST";
    case CallerVerb::Cancel:
        return "DELETE";
    case CallerVerb::Query:
    case CallerVerb::CountPending:
        break;
    }
    return "GET";
}

} // namespace

PeerJobs::PeerJobs(CurlLoop &loop, CellHost &cell, JobParser parser)
    : m_loop(loop)
    , m_cell(cell)
    , m_parser(std::move(parser))
{}

void PeerJobs::forward(const Endpoint &owner, const ForwardedRequest &request, Duration timeout,
                       OnCallerReply done)
{
    HttpExchange exchange;
    exchange.method = methodOf(request.verb);
    exchange.url = baseUrl(owner) + JobsPath + request.job.value();
    if (request.verb == CallerVerb::Submit) {
        exchange.headers = {{PolicyHeader, encodePolicy(request.policy)}};
        exchange.body = request.body;
    }
    exchange.timeout = timeout;
    m_loop.start(std::move(exchange),
                 [done = std::move(done)](const HttpResult &result) { done(decodeReply(result)); });
}

void PeerJobs::answer(const ForwardedRequest &request, OnCallerReply done)
{
    switch (request.verb) {
    case CallerVerb::Submit:
        try {
            JobSpec spec = m_parser(request.body);
            spec.policy = request.policy;
            m_cell.submit(request.job, std::move(spec), std::move(done));
        } catch (const InvariantViolation &) {
            throw;
        } catch (const std::exception &e) {
            done({CallerVerdict::Malformed, JobState::Queued, 0, e.what()});
        }
        return;
    case CallerVerb::Cancel:
        m_cell.cancel(request.job, done);
        return;
    case CallerVerb::Query:
    case CallerVerb::CountPending:
        break;
    }
    m_cell.query(request.job, done);
}

void PeerJobs::handle(const HttpRequest &request, HttpServer::Respond respond)
{
    const auto reply = [respond = std::move(respond)](const CallerReply &it) {
        HttpResponse response;
        response.body = encodeReply(it);
        respond(std::move(response));
    };
    if (!m_cell.isServing()) {
        reply({CallerVerdict::NotRun, JobState::Queued, 0, "not the owner"});
        return;
    }
    ForwardedRequest forwarded;
    forwarded.job = JobId(std::string_view(request.path).substr(std::string_view(JobsPath).size()));
    if (request.method == "POST") {
        forwarded.verb = CallerVerb::Submit;
        forwarded.body = request.body;
        try {
            forwarded.policy = decodePolicy(request.header(PolicyHeader));
        } catch (const json::exception &e) {
            reply({CallerVerdict::Malformed, JobState::Queued, 0, e.what()});
            return;
        }
    } else if (request.method == "DELETE") {
        forwarded.verb = CallerVerb::Cancel;
    }
    answer(forwarded, reply);
}

} // namespace firefly
