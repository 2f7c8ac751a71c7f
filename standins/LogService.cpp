#include "LogService.h"

#include "Delay.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace firefly::standins {
namespace {

constexpr Duration PollInterval = std::chrono::milliseconds(2);

} // namespace

LogService::LogService(asio::io_context &context, LogRetention retention)
    : m_context(context)
    , m_log(retention)
{}

void LogService::handle(const ServerRequest &request, const Responder &responder)
{
    const std::string verb = request.path.empty() ? "" : request.path.front();
    if (verb == "faults" && request.method == "POST") {
        switchFaults(request, responder);
        return;
    }
    if (verb == "stats") {
        replyStats(responder);
        return;
    }
    if (verb != "append" && verb != "read") {
        responder.reply(404, {{"error", "no such path"}});
        return;
    }
    delay(m_context, m_faults.delay, responder,
          [this, request, responder] { serve(request, responder); });
}

bool LogService::isOutFor(const ServerRequest &request) const
{
    return m_faults.isOut || m_faults.cutClients.contains(request.remote)
           || m_faults.cutClients.contains(request.parameter("client"));
}

void LogService::serve(const ServerRequest &request, const Responder &responder)
{
    if (isOutFor(request)) {
        if (m_faults.isSilentWhenOut) {
            responder.swallow();
        } else {
            responder.reply(503, {{"error", "outage"}});
        }
        return;
    }
    if (request.path.front() == "append") {
        append(request, responder);
        return;
    }
    const std::chrono::milliseconds wait(std::stoll(request.parameter("wait", "0")));
    read(request, responder, Clock::now() + wait);
}

void LogService::append(const ServerRequest &request, const Responder &responder)
{
    auto batch = nlohmann::json::parse(request.body).get<std::vector<std::string>>();
    if (batch.empty()) {
        responder.reply(400, {{"error", "empty batch"}});
        return;
    }
    const Offset first = m_log.append(std::move(batch), Clock::now());
    const nlohmann::json answer = {{"first", first}, {"tail", m_log.tail()}};
    if (m_faults.repliesToLose > 0) {
        --m_faults.repliesToLose;
        responder.replyTruncated(200, answer.dump());
        return;
    }
    responder.reply(200, answer);
}

void LogService::read(const ServerRequest &request, const Responder &responder, TimePoint deadline)
{
    const Offset from = std::stoull(request.parameter("from", "1"));
    if (from > m_log.tail() && Clock::now() < deadline && !isOutFor(request)) {
        delay(m_context, PollInterval, responder,
              [this, request, responder, deadline] { read(request, responder, deadline); });
        return;
    }
    if (isOutFor(request)) {
        responder.reply(503, {{"error", "outage"}});
        return;
    }
    const LogSlice slice =
        m_log.read(from, std::stoull(request.parameter("max", "1000")), Clock::now());
    responder.reply(200, {{"head", slice.head},
                          {"tail", slice.tail},
                          {"first", slice.first},
                          {"records", slice.records}});
}

void LogService::switchFaults(const ServerRequest &request, const Responder &responder)
{
    const auto json = nlohmann::json::parse(request.body);
    m_faults.isOut = json.value("outage", m_faults.isOut);
    m_faults.isSilentWhenOut = json.value("silent", m_faults.isSilentWhenOut);
    m_faults.cutClients = json.value("cutClients", m_faults.cutClients);
    m_faults.repliesToLose = json.value("loseReplies", m_faults.repliesToLose);
    if (json.contains("delayMs")) {
        m_faults.delay = std::chrono::milliseconds(json["delayMs"].get<std::int64_t>());
    }
    if (json.contains("trimTo")) {
        m_log.trim(json["trimTo"].get<Offset>());
    }
    replyStats(responder);
}

void LogService::replyStats(const Responder &responder) const
{
    const LogStats &stats = m_log.stats();
    responder.reply(200, {{"appends", stats.appends},
                          {"records", stats.records},
                          {"bytes", stats.bytes},
                          {"reads", stats.reads},
                          {"tail", m_log.tail()},
                          {"outage", m_faults.isOut},
                          {"cutClients", m_faults.cutClients},
                          {"loseReplies", m_faults.repliesToLose}});
}

} // namespace firefly::standins
