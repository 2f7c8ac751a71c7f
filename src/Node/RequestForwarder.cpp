#include "Node/RequestForwarder.h"

#include "Core/Assert.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <chrono>
#include <optional>

namespace firefly {
namespace {

using nlohmann::json;

/// Path of forwarded requests: jobs/CELL/JOB.
constexpr const char *JobsPath = "jobs";
/// Path of delegation requests: delegations/CELL/JOB.
constexpr const char *DelegationsPath = "delegations";
/// Path of requests to take delegated tasks back: returns/CELL/JOB.
constexpr const char *ReturnsPath = "returns";
constexpr Duration DelegationTimeout = std::chrono::milliseconds(1200);
constexpr const char *PolicyHeader = "Firefly-Policy";
constexpr const char *ReferredHeader = "Firefly-Referred";
/// Header of an answer: CallerReply::retryAfter.  Not part of the body, so that processes of an
/// earlier version can read the body.
constexpr const char *RetryAfterMsHeader = "firefly-retry-after-ms";
/// Header by which HttpServer marks its own refusals.
constexpr const char *OutcomeHeader = "firefly-outcome";
constexpr std::string_view NotRunOutcome = "not-run";

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
    return json::array({static_cast<int>(reply.outcome), static_cast<int>(reply.state),
                        reply.pending, reply.detail, reply.cell})
        // The detail may quote bytes of the request that aren't valid UTF-8.
        .dump(-1, ' ', false, json::error_handler_t::replace);
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

/// URL of the resource CELL/JOB of \a owner.
std::string urlOf(const Endpoint &owner, const char *path, int cell, const JobId &job)
{
    return baseUrl(owner) + "/" + path + "/" + std::to_string(cell) + "/" + job.value();
}

/// The number in \a text, if it is one and not negative.
std::optional<int> parseNumber(std::string_view text)
{
    int number = -1;
    const char *end = text.data() + text.size();
    const auto [last, ec] = std::from_chars(text.data(), end, number);
    return ec == std::errc() && last == end && number >= 0 ? std::optional(number) : std::nullopt;
}

} // namespace

CallerReply RequestForwarder::toReply(const HttpResult &result)
{
    if (result.state == ExchangeState::NotSent) {
        return {CallerOutcome::NotRun, JobState::Queued, 0, "the owner is unreachable"};
    }
    if (result.isComplete() && result.header(OutcomeHeader) == NotRunOutcome) {
        return {CallerOutcome::NotRun, JobState::Queued, 0, "the owner is overloaded"};
    }
    if (!result.isSuccess()) {
        return {CallerOutcome::Unknown, JobState::Queued, 0, "no answer from the owner"};
    }
    CallerReply reply = decodeReply(result.body);
    if (const auto ms = parseNumber(result.header(RetryAfterMsHeader))) {
        reply.retryAfter = std::chrono::milliseconds(*ms);
    }
    return reply;
}

HttpResponse RequestForwarder::toResponse(const CallerReply &reply)
{
    HttpResponse response;
    response.body = encodeReply(reply);
    if (reply.retryAfter) {
        const auto ms = std::chrono::ceil<std::chrono::milliseconds>(*reply.retryAfter).count();
        response.headers.emplace_back(RetryAfterMsHeader, std::to_string(ms));
    }
    return response;
}

CallerReply RequestForwarder::decodeReply(std::string_view body)
{
    const json row = json::parse(body, nullptr, false);
    const auto isIndex = [](const json &it, int last) {
        return it.is_number_integer() && it.get<std::int64_t>() >= 0
               && it.get<std::int64_t>() <= last;
    };
    const bool isReply =
        row.is_array() && row.size() == 5 && isIndex(row.at(0), static_cast<int>(LastCallerOutcome))
        && isIndex(row.at(1), static_cast<int>(LastJobState)) && row.at(2).is_number_integer()
        && row.at(3).is_string() && row.at(4).is_number_integer();
    if (!isReply) {
        return {CallerOutcome::Unknown, JobState::Queued, 0, "unreadable answer from the owner"};
    }
    CallerReply reply;
    reply.outcome = static_cast<CallerOutcome>(row.at(0).get<int>());
    reply.state = static_cast<JobState>(row.at(1).get<int>());
    row.at(2).get_to(reply.pending);
    row.at(3).get_to(reply.detail);
    row.at(4).get_to(reply.cell);
    return reply;
}

RequestForwarder::RequestForwarder(CurlLoop &loop, CellSet &cells, JobParser parser)
    : m_loop(loop)
    , m_cells(cells)
    , m_parser(std::move(parser))
{}

int RequestForwarder::cellFor(const CellLayout &layout, const ForwardedRequest &request) const
{
    std::string dataRack;
    if (layout.cellCount() > 1 && request.verb == CallerVerb::Submit) {
        const JobSpec spec = m_parser(request.body);
        for (const StepSpec &it : spec.steps) {
            dataRack = dataRack.empty() ? it.dataRack : dataRack;
        }
    }
    return layout.cellOf(request.job, request.policy.service, dataRack);
}

void RequestForwarder::forward(const Endpoint &owner, int cell, const ForwardedRequest &request,
                               Duration timeout, OnCallerReply done)
{
    HttpExchange exchange;
    exchange.method = methodOf(request.verb);
    exchange.url = urlOf(owner, JobsPath, cell, request.job);
    if (request.verb == CallerVerb::Submit) {
        exchange.headers = {{PolicyHeader, encodePolicy(request.policy)},
                            {ReferredHeader, request.isReferred ? "1" : "0"}};
        exchange.body = request.body;
    }
    exchange.timeout = timeout;
    m_loop.start(std::move(exchange),
                 [done = std::move(done)](const HttpResult &result) { done(toReply(result)); });
}

void RequestForwarder::forwardDelegation(const Endpoint &owner, const DelegationRequest &request,
                                         OnCallerReply done)
{
    HttpExchange exchange;
    exchange.method = request.record ? "POST" : "DELETE";
    exchange.url =
        urlOf(owner, request.isReturn ? ReturnsPath : DelegationsPath, request.cell, request.job);
    exchange.body = request.record.value_or("");
    exchange.timeout = DelegationTimeout;
    m_loop.start(std::move(exchange),
                 [done = std::move(done)](const HttpResult &result) { done(toReply(result)); });
}

void RequestForwarder::answer(CellHost &cell, const ForwardedRequest &request, OnCallerReply done)
{
    switch (request.verb) {
    case CallerVerb::Submit:
        try {
            JobSpec spec = m_parser(request.body);
            spec.policy = request.policy;
            cell.submit(request.job, std::move(spec), request.isReferred, std::move(done));
        } catch (const InvariantViolation &) {
            throw;
        } catch (const std::exception &e) {
            done({CallerOutcome::Malformed, JobState::Queued, 0, e.what()});
        }
        return;
    case CallerVerb::Cancel:
        cell.cancel(request.job, done);
        return;
    case CallerVerb::Query:
    case CallerVerb::CountPending:
        break;
    }
    cell.query(request.job, done);
}

void RequestForwarder::handle(const HttpRequest &request, HttpServer::Respond respond)
{
    const auto reply = [respond = std::move(respond)](const CallerReply &it) {
        respond(toResponse(it));
    };
    const auto segments = request.segments();
    if (!segments.empty() && (segments[0] == DelegationsPath || segments[0] == ReturnsPath)) {
        handleDelegation(request, reply);
    } else {
        handleJob(request, reply);
    }
}

void RequestForwarder::handleDelegation(const HttpRequest &request, const OnCallerReply &reply)
{
    const auto segments = request.segments();
    const auto cell = segments.size() == 3 ? parseNumber(segments[1]) : std::nullopt;
    if (!cell) {
        reply({CallerOutcome::Malformed, JobState::Queued, 0,
               "the path must be delegations/CELL/JOB or returns/CELL/JOB"});
        return;
    }
    const bool isReturn = segments[0] == ReturnsPath;
    DelegationRequest delegation{*cell, JobId(segments[2]), std::nullopt, isReturn};
    if (request.method == "POST") {
        delegation.record = request.body;
    } else if (request.method != "DELETE" || isReturn) {
        reply({CallerOutcome::Malformed, JobState::Queued, 0,
               isReturn ? "the method must be POST" : "the method must be POST or DELETE"});
        return;
    }
    m_cells.answerDelegation(delegation, reply);
}

void RequestForwarder::handleJob(const HttpRequest &request, const OnCallerReply &reply)
{
    const auto segments = request.segments();
    int number = -1;
    if (segments.size() == 3 && segments[0] == JobsPath) {
        std::from_chars(segments[1].data(), segments[1].data() + segments[1].size(), number);
    }
    CellHost *cell = m_cells.find(number);
    if (!cell || !cell->isServing()) {
        reply({CallerOutcome::NotRun, JobState::Queued, 0, "not the owner"});
        return;
    }
    ForwardedRequest forwarded;
    forwarded.job = JobId(segments[2]);
    if (request.method == "POST") {
        forwarded.verb = CallerVerb::Submit;
        forwarded.body = request.body;
        forwarded.isReferred = request.header(ReferredHeader) == "1";
        try {
            forwarded.policy = decodePolicy(request.header(PolicyHeader));
        } catch (const json::exception &e) {
            reply({CallerOutcome::Malformed, JobState::Queued, 0, e.what()});
            return;
        }
    } else if (request.method == "DELETE") {
        forwarded.verb = CallerVerb::Cancel;
    }
    answer(*cell, forwarded, reply);
}

} // namespace firefly
