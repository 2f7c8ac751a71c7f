#include "LogService.h"

#include "Delay.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace firefly::standins {

constexpr Duration PollInterval = std::chrono::milliseconds(2);

LogService::LogService(asio::io_context &context, LogRetention retention)
    : m_context(context)
    , m_retention(retention)
{}

void LogService::handle(const ServerRequest &request, const Responder &responder)
{
    const std::string verb = request.path.empty() ? "" : request.path.front();
    if (verb == "faults" && request.method == "POST") {
        switchFaults(request);
        replyStats(responder);
    } else if (verb == "stats") {
        replyStats(responder);
    } else if (verb == "append" || verb == "read") {
        delay(m_context, m_faults.delay, responder,
              [this, request, responder] { serve(request, responder); });
    } else {
        responder.reply(404, {{"error", "no such path"}});
    }
}

void LogService::dropFront()
{
    m_entries.pop_front();
    ++m_head;
}

void LogService::retain(TimePoint now)
{
    while (!m_entries.empty()
           && (m_entries.size() > m_retention.maxRecords
               || now - m_entries.front().at > m_retention.maxAge)) {
        dropFront();
    }
}

bool LogService::refuseWhenOut(const ServerRequest &request, const Responder &responder) const
{
    const bool isCut = m_faults.cutClients.contains(request.remote)
                       || m_faults.cutClients.contains(request.parameter("client"));
    if (!m_faults.isOut && !isCut) {
        return false;
    }
    if (m_faults.isSilentWhenOut) {
        responder.swallow();
    } else {
        responder.reply(503, {{"error", "outage"}});
    }
    return true;
}

void LogService::serve(const ServerRequest &request, const Responder &responder)
{
    if (refuseWhenOut(request, responder)) {
        return;
    }
    retain(Clock::now());
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
    const Offset first = tail() + 1;
    ++m_appends;
    for (std::string &text : batch) {
        m_bytes += text.size();
        m_entries.push_back({std::move(text), Clock::now()});
    }
    const nlohmann::json answer = {{"first", first}, {"tail", tail()}};
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
    if (from > tail() && Clock::now() < deadline) {
        delay(m_context, PollInterval, responder, [this, request, responder, deadline] {
            if (!refuseWhenOut(request, responder)) {
                read(request, responder, deadline);
            }
        });
        return;
    }
    const Offset first = std::max(from, m_head);
    const Offset end =
        std::min<Offset>(tail() + 1, first + std::stoull(request.parameter("max", "1000")));
    auto records = nlohmann::json::array();
    for (Offset offset = first; offset < end; ++offset) {
        records.push_back(m_entries[offset - m_head].text);
    }
    responder.reply(
        200,
        {{"head", m_head}, {"tail", tail()}, {"first", first}, {"records", std::move(records)}});
}

void LogService::switchFaults(const ServerRequest &request)
{
    const auto json = nlohmann::json::parse(request.body);
    m_faults.isOut = json.value("outage", m_faults.isOut);
    m_faults.isSilentWhenOut = json.value("silent", m_faults.isSilentWhenOut);
    m_faults.cutClients = json.value("cutClients", m_faults.cutClients);
    m_faults.repliesToLose = json.value("loseReplies", m_faults.repliesToLose);
    m_faults.delay = Duration(1000 * json.value("delayMs", m_faults.delay.count() / 1000));
    const Offset trimTo = json.value("trimTo", m_head);
    while (m_head < trimTo && !m_entries.empty()) {
        dropFront();
    }
}

void LogService::replyStats(const Responder &responder) const
{
    responder.reply(200, {{"appends", m_appends},
                          {"records", tail()},
                          {"bytes", m_bytes},
                          {"tail", tail()},
                          {"outage", m_faults.isOut},
                          {"cutClients", m_faults.cutClients},
                          {"loseReplies", m_faults.repliesToLose}});
}

} // namespace firefly::standins
