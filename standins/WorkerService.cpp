#include "WorkerService.h"

#include "Adapters/WorkerJson.h"
#include "Delay.h"
#include "Records/Codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace firefly::standins {
namespace {

constexpr std::size_t MaxPaddingBytes = 16U << 20U;

/// HTTP status and text that report a MessageResult.
struct StatusAndText
{
    int status;
    const char *text;
};

StatusAndText toStatusAndText(MessageResult result)
{
    switch (result) {
    case MessageResult::Done:
        return {200, "done"};
    case MessageResult::Duplicate:
        return {200, "already listed"};
    case MessageResult::NoFreeSlot:
        return {429, "no slot"};
    case MessageResult::InsufficientResources:
        return {507, "no room"};
    case MessageResult::UnknownTask:
        return {404, "unknown task"};
    case MessageResult::StaleTerm:
        return {409, "stale term"};
    case MessageResult::LeaseExpired:
        return {409, "lapsed lease"};
    case MessageResult::LeaseMismatch:
        break;
    }
    return {409, "not the lease of the last sync"};
}

/// Returns the answer of a service; it names the request and execution so that a checker can match
/// it with the records.
std::string makeCallAnswer(const WorkerId &worker, const WorkerCall &call, std::uint64_t number)
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
        answer["padding"] = std::string(std::min(padding, MaxPaddingBytes), 'x');
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
        HostedWorker &hosted = m_workers[info.id.value()];
        hosted.worker = std::make_unique<StandinWorker>(info.id, info.capacity, m_profile,
                                                        info.id.value() + "." + boot, seed++);
    }
}

void WorkerService::handle(const ServerRequest &request, const Responder &responder)
{
    m_lastConnection = std::max(m_lastConnection, responder.connection());
    const std::string root = request.path.empty() ? "" : request.path.front();
    const bool isForWorker = root == "workers" && request.path.size() > 2;
    if (root == "records") {
        replyRecords(responder);
    } else if (root == "vms") {
        responder.reply(200, VmList{m_infos, {}});
    } else if (root == "profile") {
        handleProfile(request, responder);
    } else if (isForWorker && request.path[2] == "faults") {
        handleFaults(request, responder);
    } else if (isForWorker && m_workers.contains(request.path[1])) {
        HostedWorker &hosted = m_workers[request.path[1]];
        delay(m_context, hosted.faults.delay, responder,
              [this, &hosted, request, responder] { serve(hosted, request, responder); });
    } else {
        responder.reply(404, {{"error", "no such path or worker"}});
    }
}

void WorkerService::serve(HostedWorker &hosted, const ServerRequest &request,
                          const Responder &responder)
{
    if (hosted.faults.isSilentTo(responder)) {
        responder.leaveUnanswered();
        return;
    }
    const TimePoint now = Clock::now();
    const std::string &operation = request.path[2];
    MessageResult result = MessageResult::UnknownTask;
    if (operation == "calls" && request.path.size() == 4) {
        handleCall(hosted, request, responder);
        return;
    }
    if (operation == "sync") {
        const auto reply = hosted.worker->sync(parse<WorkerSync>(request), now);
        sendReply(hosted, responder, 200, nlohmann::json(reply).dump());
        return;
    }
    if (operation == "tasks") {
        result = hosted.worker->start(parse<StartAttempt>(request), now);
    } else if (operation == "stop") {
        result = hosted.worker->stop(parse<StopAttempt>(request), now);
    } else if (operation == "throttle") {
        result = hosted.worker->throttle(parse<ThrottleAttempt>(request), now);
    }
    sendReply(hosted, responder, result);
}

void WorkerService::handleCall(HostedWorker &hosted, const ServerRequest &request,
                               const Responder &responder)
{
    WorkerCall call;
    call.worker = hosted.worker->id();
    call.term = std::stoull(request.headers.at("Firefly-Term"));
    call.request = RequestId(request.headers.at("Firefly-Request-Id"));
    call.key = request.headers.at("Firefly-Key");
    call.service = ServiceId(request.path[3]);
    call.body = request.body;
    const CallAdmission admission = hosted.worker->beginCall(call, Clock::now());
    if (admission.result != MessageResult::Done) {
        sendReply(hosted, responder, admission.result);
        return;
    }
    delay(m_context, admission.duration, responder,
          [this, &hosted, call, number = admission.call, responder] {
              finishCall(hosted, call, number, responder);
          });
}

void WorkerService::finishCall(HostedWorker &hosted, const WorkerCall &call, std::uint64_t number,
                               const Responder &responder)
{
    const std::string outcome = hosted.worker->endCall(number, Clock::now());
    const std::string body = makeCallAnswer(hosted.worker->id(), call, number);
    const Responder::Fields fields = {{"Firefly-Request-Id", call.request.value()}};
    if (hosted.faults.isTruncatingAnswers || outcome == "cut") {
        responder.replyTruncated(200, body, fields);
        return;
    }
    sendReply(hosted, responder, outcome == "answered" ? 200 : 500, body, fields);
}

void WorkerService::sendReply(HostedWorker &hosted, const Responder &responder,
                              MessageResult result) const
{
    const auto [status, text] = toStatusAndText(result);
    sendReply(hosted, responder, status, nlohmann::json{{"result", text}}.dump());
}

void WorkerService::sendReply(HostedWorker &hosted, const Responder &responder, int status,
                              const std::string &body, const Responder::Fields &fields) const
{
    const bool isReplyDropped = hosted.faults.repliesToDrop > 0;
    hosted.faults.repliesToDrop -= isReplyDropped ? 1 : 0;
    if (isReplyDropped || hosted.faults.isSilentTo(responder)) {
        responder.leaveUnanswered();
        return;
    }
    responder.replyText(status, body, fields);
}

void WorkerService::handleFaults(const ServerRequest &request, const Responder &responder)
{
    int updatedWorkers = 0;
    for (auto &[id, hosted] : m_workers) {
        if (request.path[1] != id && request.path[1] != "all") {
            continue;
        }
        applyFaults(hosted, request);
        ++updatedWorkers;
    }
    responder.reply(updatedWorkers > 0 ? 200 : 404, {{"workers", updatedWorkers}});
}

void WorkerService::applyFaults(HostedWorker &hosted, const ServerRequest &request)
{
    const auto json = nlohmann::json::parse(request.body);
    Faults &faults = hosted.faults;
    faults.isSilent = json.value("silent", faults.isSilent);
    faults.isTruncatingAnswers = json.value("truncate", faults.isTruncatingAnswers);
    faults.repliesToDrop = json.value("loseReplies", faults.repliesToDrop);
    faults.delay = Duration(1000 * json.value("delayMs", faults.delay.count() / 1000));
    if (json.value("silentConnections", false)) {
        faults.lastSilentConnection = m_lastConnection;
    }
    if (json.contains("failEverything")) {
        hosted.worker->setFailsEverything(json["failEverything"].get<bool>());
    }
    if (json.contains("slowFactor")) {
        hosted.worker->setSlowFactor(json["slowFactor"].get<double>(), Clock::now());
    }
    if (json.value("reboot", false)) {
        hosted.worker->reboot(Clock::now());
    }
}

void WorkerService::replyRecords(const Responder &responder)
{
    nlohmann::json workers = nlohmann::json::array();
    for (auto &[id, hosted] : m_workers) {
        hosted.worker->advanceTo(Clock::now());
        nlohmann::json json = hosted.worker->records();
        json["worker"] = id;
        json["capacity"] = hosted.worker->capacity();
        workers.push_back(std::move(json));
    }
    responder.reply(200, {{"workers", std::move(workers)}});
}

void WorkerService::handleProfile(const ServerRequest &request, const Responder &responder)
{
    if (request.method == "POST") {
        for (auto &[id, hosted] : m_workers) {
            hosted.worker->advanceTo(Clock::now());
        }
        nlohmann::json profile = m_profile;
        profile.merge_patch(nlohmann::json::parse(request.body));
        m_profile = profile.get<WorkerProfile>();
    }
    responder.reply(200, m_profile);
}

} // namespace firefly::standins
