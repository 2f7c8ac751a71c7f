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

/// Status and text of a worker's verdict.
struct VerdictText
{
    int status;
    const char *text;
};

VerdictText describe(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Done:
        return {200, "done"};
    case Verdict::Repeated:
        return {200, "already listed"};
    case Verdict::NoSlot:
        return {429, "no slot"};
    case Verdict::NoRoom:
        return {507, "no room"};
    case Verdict::UnknownTask:
        return {404, "unknown task"};
    case Verdict::StaleTerm:
        return {409, "stale term"};
    case Verdict::LapsedLease:
        return {409, "lapsed lease"};
    case Verdict::Fenced:
        break;
    }
    return {409, "not the lease of the last sync"};
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
                             const std::string &boot, std::uint64_t seed)
    : m_context(context)
    , m_infos(std::move(workers))
{
    for (const WorkerInfo &info : m_infos) {
        Served &served = m_workers[info.id.value()];
        served.worker = std::make_unique<StandinWorker>(info.id, info.capacity, m_profile,
                                                        info.id.value() + "." + boot, seed++);
    }
}

void WorkerService::handle(const ServerRequest &request, const Responder &responder)
{
    m_newestConnection = std::max(m_newestConnection, responder.connection());
    const std::string root = request.path.empty() ? "" : request.path.front();
    const bool isForWorker = root == "workers" && request.path.size() > 2;
    if (root == "records") {
        replyRecords(responder);
    } else if (root == "vms") {
        responder.reply(200, VmList{m_infos, {}});
    } else if (root == "profile") {
        switchProfile(request, responder);
    } else if (isForWorker && request.path[2] == "faults") {
        switchFaults(request, responder);
    } else if (isForWorker && m_workers.contains(request.path[1])) {
        Served &served = m_workers[request.path[1]];
        delay(m_context, served.faults.delay, responder,
              [this, &served, request, responder] { serve(served, request, responder); });
    } else {
        responder.reply(404, {{"error", "no such path or worker"}});
    }
}

void WorkerService::serve(Served &served, const ServerRequest &request, const Responder &responder)
{
    if (served.faults.silences(responder)) {
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
    answer(served, responder, verdict);
}

void WorkerService::serveCall(Served &served, const ServerRequest &request,
                              const Responder &responder)
{
    WorkerCall call;
    call.worker = served.worker->id();
    call.term = std::stoull(request.headers.at("Firefly-Term"));
    call.request = RequestId(request.headers.at("Firefly-Request-Id"));
    call.key = request.headers.at("Firefly-Key");
    call.service = ServiceId(request.path[3]);
    call.body = request.body;
    const CallTicket ticket = served.worker->beginCall(call, Clock::now());
    if (ticket.verdict != Verdict::Done) {
        answer(served, responder, ticket.verdict);
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
    const std::string outcome = served.worker->endCall(number, Clock::now());
    const std::string body = callAnswer(served.worker->id(), call, number);
    const Responder::Fields fields = {{"Firefly-Request-Id", call.request.value()}};
    if (served.faults.truncatesAnswers || outcome == "cut") {
        responder.replyTruncated(200, body, fields);
        return;
    }
    answer(served, responder, outcome == "answered" ? 200 : 500, body, fields);
}

void WorkerService::answer(Served &served, const Responder &responder, Verdict verdict) const
{
    const auto [status, text] = describe(verdict);
    answer(served, responder, status, nlohmann::json{{"result", text}}.dump());
}

void WorkerService::answer(Served &served, const Responder &responder, int status,
                           const std::string &body, const Responder::Fields &fields) const
{
    const bool isLost = served.faults.repliesToLose > 0;
    served.faults.repliesToLose -= isLost ? 1 : 0;
    if (isLost || served.faults.silences(responder)) {
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
    faults.delay = Duration(1000 * json.value("delayMs", faults.delay.count() / 1000));
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
        nlohmann::json profile = m_profile;
        profile.merge_patch(nlohmann::json::parse(request.body));
        m_profile = profile.get<WorkerProfile>();
    }
    responder.reply(200, m_profile);
}

} // namespace firefly::standins
