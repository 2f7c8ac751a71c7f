#include "WorkerService.h"

#include "Adapters/WorkerJson.h"
#include "Delay.h"
#include "Records/Codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace firefly::standins {
namespace {

constexpr std::size_t MaxPadding = 16U << 20U;

int toStatus(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Done:
    case Verdict::Repeated:
        return 200;
    case Verdict::NoSlot:
        return 429;
    case Verdict::NoRoom:
        return 507;
    case Verdict::UnknownTask:
        return 404;
    case Verdict::StaleTerm:
    case Verdict::LapsedLease:
    case Verdict::Fenced:
        break;
    }
    return 409;
}

const char *reasonOf(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Done:
        return "done";
    case Verdict::StaleTerm:
        return "stale term";
    case Verdict::LapsedLease:
        return "lapsed lease";
    case Verdict::Fenced:
        return "older than the start fence";
    case Verdict::NoRoom:
        return "no room";
    case Verdict::NoSlot:
        return "no slot";
    case Verdict::UnknownTask:
        return "unknown task";
    case Verdict::Repeated:
        break;
    }
    return "already listed";
}

std::string verdictBody(Verdict verdict)
{
    return nlohmann::json{{"result", reasonOf(verdict)}}.dump();
}

/// The answer of a service; it names the request so that a checker can match it.
std::string callAnswer(const WorkerId &worker, const WorkerCall &call, std::uint64_t number)
{
    const auto body = nlohmann::json::parse(call.body, nullptr, false);
    nlohmann::json answer = {{"worker", worker.value()},
                             {"service", call.service.value()},
                             {"request", call.request.value()},
                             {"key", call.key},
                             {"execution", worker.value() + ":" + std::to_string(number)},
                             {"bodyHash", bodyHash(call.body)}};
    if (body.is_object()) {
        answer["customer"] = body.value("customer", "");
        answer["callerRequest"] = body.value("request", "");
        const std::size_t padding = body.value("answerBytes", std::size_t(0));
        answer["padding"] = std::string(std::min(padding, MaxPadding), 'x');
    }
    return answer.dump();
}

template <typename Message>
Message parse(const ServerRequest &request)
{
    return nlohmann::json::parse(request.body).get<Message>();
}

} // namespace

WorkerService::WorkerService(asio::io_context &context, std::vector<WorkerInfo> workers,
                             WorkerProfile profile, const std::string &boot, std::uint64_t seed)
    : m_context(context)
    , m_infos(std::move(workers))
    , m_profile(std::move(profile))
{
    for (const WorkerInfo &info : m_infos) {
        Served &served = m_workers[info.id.value()];
        served.worker = std::make_unique<StandinWorker>(info.id, info.capacity, m_profile,
                                                        info.id.value() + "." + boot, seed++);
    }
}

void WorkerService::handle(const ServerRequest &request, const Responder &responder)
{
    m_newestConnection = std::max(m_newestConnection, request.connection);
    const std::string root = request.path.empty() ? "" : request.path.front();
    if (root == "records") {
        replyRecords(responder);
        return;
    }
    if (root == "vms") {
        responder.reply(200, VmList{m_infos, {}});
        return;
    }
    if (root == "profile") {
        switchProfile(request, responder);
        return;
    }
    if (root != "workers" || request.path.size() < 3) {
        responder.reply(404, {{"error", "no such path"}});
        return;
    }
    if (request.path[2] == "faults") {
        switchFaults(request, responder);
        return;
    }
    const auto it = m_workers.find(request.path[1]);
    if (it == m_workers.end()) {
        responder.reply(404, {{"error", "no such worker"}});
        return;
    }
    Served &served = it->second;
    delay(m_context, served.faults.delay, responder,
          [this, &served, request, responder] { serve(served, request, responder); });
}

void WorkerService::serve(Served &served, const ServerRequest &request, const Responder &responder)
{
    if (served.faults.isSilent || request.connection <= served.faults.silentUpToConnection) {
        responder.swallow();
        return;
    }
    const TimePoint now = Clock::now();
    const std::string &verb = request.path[2];
    Verdict verdict = Verdict::UnknownTask;
    if (verb == "calls" && request.path.size() == 4) {
        serveCall(served, request, responder);
        return;
    }
    if (verb == "sync") {
        const auto reply = served.worker->sync(parse<WorkerSync>(request), now);
        answer(served, responder, 200, nlohmann::json(reply).dump());
        return;
    }
    if (verb == "tasks") {
        verdict = served.worker->start(parse<StartTask>(request), now);
    } else if (verb == "stop") {
        verdict = served.worker->stop(parse<StopTask>(request), now);
    } else if (verb == "throttle") {
        verdict = served.worker->throttle(parse<ThrottleTask>(request), now);
    }
    answer(served, responder, toStatus(verdict), verdictBody(verdict));
}

void WorkerService::serveCall(Served &served, const ServerRequest &request,
                              const Responder &responder)
{
    WorkerCall call;
    call.worker = served.worker->id();
    call.term = std::stoull(request.header("firefly-term", "0"));
    call.request = RequestId(request.header("firefly-request-id"));
    call.key = request.header("firefly-key");
    call.service = ServiceId(request.path[3]);
    call.body = request.body;
    const CallTicket ticket = served.worker->beginCall(call, Clock::now());
    if (ticket.verdict != Verdict::Done) {
        answer(served, responder, toStatus(ticket.verdict), verdictBody(ticket.verdict));
        return;
    }
    delay(m_context, ticket.duration, responder,
          [this, &served, call, number = ticket.call, responder] {
              finishCall(served, call, number, responder);
          });
}

void WorkerService::finishCall(Served &served, const WorkerCall &call, std::uint64_t number,
                               const Responder &responder)
{
    const bool isAnswered = served.worker->endCall(number, Clock::now());
    const std::string body = callAnswer(served.worker->id(), call, number);
    const Responder::Fields fields = {{"Firefly-Request-Id", call.request.value()}};
    if (served.faults.truncatesAnswers) {
        responder.replyTruncated(200, body, fields);
        return;
    }
    answer(served, responder, isAnswered ? 200 : 500, body, fields);
}

void WorkerService::answer(Served &served, const Responder &responder, int status,
                           const std::string &body, const Responder::Fields &fields) const
{
    if (served.faults.repliesToLose > 0) {
        --served.faults.repliesToLose;
        responder.swallow();
        return;
    }
    responder.replyText(status, body, fields);
}

void WorkerService::switchFaults(const ServerRequest &request, const Responder &responder)
{
    int n = 0;
    for (auto &[id, served] : m_workers) {
        if (request.path[1] != id && request.path[1] != "all") {
            continue;
        }
        applyFaults(served, request);
        ++n;
    }
    responder.reply(n > 0 ? 200 : 404, {{"workers", n}});
}

void WorkerService::applyFaults(Served &served, const ServerRequest &request)
{
    const auto json = nlohmann::json::parse(request.body);
    Faults &faults = served.faults;
    faults.isSilent = json.value("silent", faults.isSilent);
    faults.truncatesAnswers = json.value("truncate", faults.truncatesAnswers);
    faults.repliesToLose = json.value("loseReplies", faults.repliesToLose);
    if (json.contains("delayMs")) {
        faults.delay = std::chrono::milliseconds(json["delayMs"].get<std::int64_t>());
    }
    if (json.value("silentConnections", false)) {
        faults.silentUpToConnection = m_newestConnection;
    }
    if (json.contains("failEverything")) {
        served.worker->setFailsEverything(json["failEverything"].get<bool>());
    }
    if (json.contains("slowFactor")) {
        served.worker->setSlowFactor(json["slowFactor"].get<double>(), Clock::now());
    }
    if (json.value("reboot", false)) {
        served.worker->reboot(Clock::now());
    }
}

void WorkerService::replyRecords(const Responder &responder)
{
    nlohmann::json workers = nlohmann::json::array();
    for (auto &[id, served] : m_workers) {
        served.worker->settle(Clock::now());
        nlohmann::json json = served.worker->records();
        json["worker"] = id;
        json["capacity"] = served.worker->capacity();
        workers.push_back(std::move(json));
    }
    responder.reply(200, {{"workers", std::move(workers)}});
}

void WorkerService::switchProfile(const ServerRequest &request, const Responder &responder)
{
    if (request.method == "POST") {
        for (auto &[id, served] : m_workers) {
            served.worker->settle(Clock::now());
        }
        from_json(nlohmann::json::parse(request.body), m_profile);
    }
    responder.reply(200, m_profile);
}

} // namespace firefly::standins
