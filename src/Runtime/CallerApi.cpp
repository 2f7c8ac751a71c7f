#include "Runtime/CallerApi.h"

#include "Records/Codec.h"
#include "Records/IdJson.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <chrono>
#include <optional>
#include <stdexcept>
#include <utility>

namespace firefly {
namespace {

constexpr std::size_t MaxNameBytes = 200;
constexpr std::int64_t MaxDeadlineMs = 60'000;
constexpr Duration RetryAfterOverload = std::chrono::seconds(1);

/// Thrown for an invalid request before it reaches the core, so it certainly did not run.
class InvalidRequest : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

HttpResponse jsonResponse(int status, const nlohmann::json &body)
{
    HttpResponse response;
    response.status = status;
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

HttpResponse errorResponse(int status, std::string_view message)
{
    return jsonResponse(status, {{"error", message}});
}

/// Whole seconds for a Retry-After header, at least one.
std::string retryAfterSeconds(Duration after)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(after).count();
    return std::to_string(std::max<std::int64_t>(1, seconds));
}

void addRetryAfter(HttpResponse &response, Duration after)
{
    response.headers.emplace_back("Retry-After", retryAfterSeconds(after));
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(after).count();
    response.headers.emplace_back("Firefly-Retry-After-Ms", std::to_string(ms));
}

int statusOf(const CallReply &reply)
{
    switch (reply.outcome) {
    case Outcome::Answer:
        return 200;
    case Outcome::Failed:
        return 502;
    case Outcome::NotRun:
        return reply.reason == CallReason::KeyReused ? 409 : 503;
    case Outcome::Unknown:
        break;
    }
    return 504;
}

HttpResponse toResponse(const CallReply &reply)
{
    HttpResponse response;
    response.status = statusOf(reply);
    response.body = reply.body;
    if (reply.outcome == Outcome::NotRun || reply.outcome == Outcome::Unknown) {
        const std::string reason =
            reply.body.empty() ? std::string(toString(reply.reason)) : reply.body;
        response = errorResponse(response.status, reason);
    }
    if (reply.outcome == Outcome::NotRun && response.status == 503) {
        addRetryAfter(response, reply.retryAfter);
    }
    response.headers.emplace_back("Firefly-Outcome", std::string(toString(reply.outcome)));
    response.headers.emplace_back("Firefly-Request-Id", reply.request.value());
    return response;
}

HttpResponse notRunResponse(int status, std::string_view message)
{
    HttpResponse response = errorResponse(status, message);
    response.headers.emplace_back("Firefly-Outcome", "not-run");
    return response;
}

std::string readHeader(const HttpRequest &request, std::string_view header, bool isRequired)
{
    const std::string_view value = request.header(header);
    if (value.empty() && isRequired) {
        throw InvalidRequest("header " + std::string(header) + " is missing");
    }
    if (value.size() > MaxNameBytes) {
        throw InvalidRequest("header " + std::string(header) + " is longer than 200 bytes");
    }
    return std::string(value);
}

Duration readDeadline(const HttpRequest &request)
{
    const std::string_view text = request.header("Firefly-Deadline-Ms");
    if (text.empty()) {
        return Duration::zero();
    }
    std::int64_t ms = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
    const bool isInteger = ec == std::errc() && end == text.data() + text.size();
    if (!isInteger || ms <= 0 || ms > MaxDeadlineMs) {
        throw InvalidRequest("header Firefly-Deadline-Ms must be a number from 1 to 60000");
    }
    return std::chrono::milliseconds(ms);
}

HttpResponse toResponse(const CommandResult &result)
{
    if (const auto *done = std::get_if<CommandDone>(&result)) {
        return jsonResponse(202, {{"job", done->job.value()}});
    }
    if (std::holds_alternative<CommandNotFound>(result)) {
        return errorResponse(404, "no such job");
    }
    if (const auto *refused = std::get_if<CommandRefused>(&result)) {
        return errorResponse(422, refused->reason);
    }
    const auto &unreachable = std::get<LogUnreachable>(result);
    HttpResponse response =
        errorResponse(503, "the log can't be reached; ask again with the same key");
    addRetryAfter(response, unreachable.retryAfter);
    return response;
}

/// Checks the body of a job submission.
/// \returns all errors found, one text each.
std::vector<std::string> validateJob(const nlohmann::json &json)
{
    std::vector<std::string> findings;
    const auto require = [&](const char *field, bool isValid, const char *requirement) {
        if (!isValid) {
            findings.push_back(std::string(field) + " " + requirement);
        }
    };
    const auto isShortString = [&](const char *field) {
        return json.contains(field) && json[field].is_string() && !json[field].empty()
               && json[field].get_ref<const std::string &>().size() <= MaxNameBytes;
    };
    require("customer", isShortString("customer"), "must be a text of 1 to 200 bytes");
    require("kind", isShortString("kind"), "must be a text of 1 to 200 bytes");
    require("key", !json.contains("key") || isShortString("key"),
            "must be a text of 1 to 200 bytes");
    require("payload", !json.contains("payload") || json["payload"].is_string(), "must be a text");
    require("runtimeMs",
            json.contains("runtimeMs") && json["runtimeMs"].is_number_unsigned()
                && json["runtimeMs"].get<std::uint64_t>() > 0,
            "must be a positive number");
    require("resources", json.contains("resources") && json["resources"].is_object(),
            "must be an object");
    for (const auto &[field, value] : json.items()) {
        const bool isKnown = field == "customer" || field == "kind" || field == "key"
                             || field == "payload" || field == "runtimeMs" || field == "resources";
        require(field.c_str(), isKnown, "is not a known field");
    }
    if (!json.contains("resources") || !json["resources"].is_object()) {
        return findings;
    }
    for (const auto &[field, value] : json["resources"].items()) {
        const bool isKnown = field == "milliProcessors" || field == "memoryMiB"
                             || field == "accelerators" || field == "slots";
        const std::string name = "resources." + field;
        require(name.c_str(), isKnown, "is not a known field");
        require(name.c_str(), value.is_number_unsigned(), "must be a number of at least 0");
    }
    return findings;
}

JobSubmission toSubmission(const nlohmann::json &json)
{
    JobSubmission submission;
    submission.spec.customer = CustomerId(json["customer"].get<std::string>());
    submission.spec.kind = json["kind"].get<std::string>();
    submission.spec.runtimeMs = json["runtimeMs"].get<std::int64_t>();
    submission.spec.payload = json.value("payload", "");
    const auto &resources = json["resources"];
    submission.spec.resources = {resources.value("milliProcessors", std::int64_t(0)),
                                 resources.value("memoryMiB", std::int64_t(0)),
                                 resources.value("accelerators", std::int64_t(0)), 0};
    if (json.contains("key")) {
        submission.job =
            JobId(json["customer"].get<std::string>() + "~" + json["key"].get<std::string>());
    }
    return submission;
}

} // namespace

CallerApi::CallerApi(EntryCore &core, std::size_t maxInFlight, StepRunner runStep)
    : m_core(core)
    , m_maxInFlight(maxInFlight)
    , m_runStep(std::move(runStep))
{}

void CallerApi::handle(HttpRequest request, HttpServer::Respond respond)
{
    const auto path = request.segments();
    const bool isJobPath = path.size() >= 2 && path[0] == "v1" && path[1] == "jobs";
    if (path.size() == 4 && path[0] == "v1" && path[1] == "services" && path[3] == "calls") {
        if (request.method != "POST") {
            respond(notRunResponse(405, "use POST"));
            return;
        }
        call(std::move(request), path[2], std::move(respond));
    } else if (isJobPath && path.size() == 2 && request.method == "POST") {
        submit(request, std::move(respond));
    } else if (isJobPath && path.size() == 3 && request.method == "GET") {
        respond(status(JobId(path[2])));
    } else if (isJobPath && path.size() == 3 && request.method == "DELETE") {
        cancel(JobId(path[2]), std::move(respond));
    } else if (isJobPath && path.size() == 4 && path[3] == "result" && request.method == "GET") {
        respond(result(JobId(path[2])));
    } else if (path.size() == 1 && path[0] == "health") {
        respond(health());
    } else {
        respond(notRunResponse(404, "no such path"));
    }
}

void CallerApi::call(HttpRequest request, const std::string &service, HttpServer::Respond respond)
{
    if (!m_core.hasService(ServiceId(service))) {
        respond(notRunResponse(404, "no such service"));
        return;
    }
    if (m_core.calls().active() >= m_maxInFlight) {
        HttpResponse response = notRunResponse(503, "too many requests are in flight");
        addRetryAfter(response, RetryAfterOverload);
        respond(std::move(response));
        return;
    }
    CallerRequest caller;
    try {
        caller.customer = CustomerId(readHeader(request, "Firefly-Customer", true));
        caller.service = ServiceId(service);
        const bool needsKey = !m_core.service(caller.service).idempotent;
        caller.key = readHeader(request, "Idempotency-Key", needsKey);
        caller.timeout = readDeadline(request);
        caller.body = std::move(request.body);
    } catch (const InvalidRequest &e) {
        respond(notRunResponse(400, e.what()));
        return;
    }
    m_runStep([&](TimePoint now) {
        m_core.onCallerRequest(now, std::move(caller),
                               [respond](const CallReply &reply) { respond(toResponse(reply)); });
    });
}

void CallerApi::submit(const HttpRequest &request, HttpServer::Respond respond)
{
    const auto json = nlohmann::json::parse(request.body, nullptr, false);
    if (!json.is_object()) {
        respond(errorResponse(400, "the body must be a JSON object"));
        return;
    }
    const auto findings = validateJob(json);
    if (!findings.empty()) {
        respond(jsonResponse(400, {{"error", "the job is not valid"}, {"findings", findings}}));
        return;
    }
    m_runStep([&](TimePoint) {
        m_core.submitJob(toSubmission(json),
                         [respond](const CommandResult &result) { respond(toResponse(result)); });
    });
}

void CallerApi::cancel(const JobId &job, HttpServer::Respond respond)
{
    m_runStep([&](TimePoint) {
        m_core.cancelJob(job,
                         [respond](const CommandResult &result) { respond(toResponse(result)); });
    });
}

HttpResponse CallerApi::status(const JobId &job) const
{
    auto json = m_core.jobStatus(job);
    if (json.is_null()) {
        return errorResponse(404, "no such job");
    }
    json.erase("result");
    return jsonResponse(200, json);
}

HttpResponse CallerApi::result(const JobId &job) const
{
    const auto json = m_core.jobStatus(job);
    if (json.is_null()) {
        return errorResponse(404, "no such job");
    }
    const auto &state = json["state"].get_ref<const std::string &>();
    if (state != "finished" && state != "failed") {
        HttpResponse response = errorResponse(409, "the job has not finished");
        addRetryAfter(response, RetryAfterOverload);
        return response;
    }
    return jsonResponse(state == "finished" ? 200 : 502,
                        {{"state", state}, {"result", json["result"]}});
}

HttpResponse CallerApi::health() const
{
    const bool isHealthy = m_core.isHealthy();
    return jsonResponse(isHealthy ? 200 : 503, {{"healthy", isHealthy}});
}

} // namespace firefly
