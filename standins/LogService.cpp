#include "LogService.h"

#include "Delay.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace firefly::standins {

/// Interval at which a waiting read checks for new records.
constexpr Duration PollInterval = std::chrono::milliseconds(2);

LogService::LogService(asio::io_context &context, LogRetention retention)
    : m_context(context)
    , m_retention(retention)
{}

void LogService::handle(const ServerRequest &request, const Responder &responder)
{
    const std::string operation = request.path.empty() ? "" : request.path.front();
    if (operation == "faults" && request.method == "POST") {
        updateFaults(request);
        replyStats(responder);
    } else if (operation == "stats") {
        replyStats(responder);
    } else if (operation == "append" || operation == "read") {
        delay(m_context, m_faults.delay, responder,
              [this, request, responder] { serve(request, responder); });
    } else {
        responder.reply(404, {{"error", "no such path"}});
    }
}

void LogService::dropOldestRecord()
{
    m_records.pop_front();
    ++m_head;
}

void LogService::applyRetention(TimePoint now)
{
    while (!m_records.empty()
           && (m_records.size() > m_retention.maxRecords
               || now - m_records.front().appendedAt > m_retention.maxAge)) {
        dropOldestRecord();
    }
}

bool LogService::refuseDuringOutage(const ServerRequest &request, const Responder &responder) const
{
    const bool isPartitioned = m_faults.partitionedClients.contains(request.remote)
                               || m_faults.partitionedClients.contains(request.parameter("client"));
    if (!m_faults.hasOutage && !isPartitioned) {
        return false;
    }
    if (m_faults.isSilentDuringOutage) {
        responder.leaveUnanswered();
    } else {
        responder.reply(503, {{"error", "outage"}});
    }
    return true;
}

void LogService::serve(const ServerRequest &request, const Responder &responder)
{
    if (refuseDuringOutage(request, responder)) {
        return;
    }
    applyRetention(Clock::now());
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
    ++m_appendCount;
    for (std::string &text : batch) {
        m_byteCount += text.size();
        m_records.push_back({std::move(text), Clock::now()});
    }
    const nlohmann::json answer = {{"first", first}, {"tail", tail()}};
    if (m_faults.repliesToDrop > 0) {
        --m_faults.repliesToDrop;
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
            if (!refuseDuringOutage(request, responder)) {
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
        records.push_back(m_records[offset - m_head].text);
    }
    responder.reply(
        200,
        {{"head", m_head}, {"tail", tail()}, {"first", first}, {"records", std::move(records)}});
}

void LogService::updateFaults(const ServerRequest &request)
{
    const auto json = nlohmann::json::parse(request.body);
    m_faults.hasOutage = json.value("outage", m_faults.hasOutage);
    m_faults.isSilentDuringOutage = json.value("silent", m_faults.isSilentDuringOutage);
    m_faults.partitionedClients = json.value("cutClients", m_faults.partitionedClients);
    m_faults.repliesToDrop = json.value("loseReplies", m_faults.repliesToDrop);
    m_faults.delay = Duration(1000 * json.value("delayMs", m_faults.delay.count() / 1000));
    const Offset trimTo = json.value("trimTo", m_head);
    while (m_head < trimTo && !m_records.empty()) {
        dropOldestRecord();
    }
}

void LogService::replyStats(const Responder &responder) const
{
    responder.reply(200, {{"appends", m_appendCount},
                          {"records", tail()},
                          {"bytes", m_byteCount},
                          {"tail", tail()},
                          {"outage", m_faults.hasOutage},
                          {"cutClients", m_faults.partitionedClients},
                          {"loseReplies", m_faults.repliesToDrop}});
}

} // namespace firefly::standins
