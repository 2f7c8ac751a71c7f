#include "Recovery/WriterSequences.h"

#include <nlohmann/json.hpp>

namespace firefly {

bool WriterSequences::recordIfNew(const LoggedEnvelope &logged)
{
    const Envelope &envelope = logged.envelope;
    if (envelope.sequence <= last(envelope.writer)) {
        return false;
    }
    setLast(envelope.writer, {envelope.sequence, logged.offset});
    if (m_lastByWriter.size() > MaxWriters) {
        const auto oldest = m_writerByOffset.begin();
        m_lastByWriter.erase(oldest->second);
        m_writerByOffset.erase(oldest);
    }
    return true;
}

std::uint64_t WriterSequences::last(const WriterId &writer) const
{
    const auto it = m_lastByWriter.find(writer);
    return it == m_lastByWriter.end() ? 0 : it->second.sequence;
}

void WriterSequences::setLast(const WriterId &writer, LastRecord record)
{
    LastRecord &stored = m_lastByWriter[writer];
    m_writerByOffset.erase(stored.offset);
    stored = record;
    m_writerByOffset.emplace(record.offset, writer);
}

nlohmann::json WriterSequences::save() const
{
    nlohmann::json json = nlohmann::json::object();
    for (const auto &[writer, record] : m_lastByWriter) {
        json[writer.value()] = {record.sequence, record.offset};
    }
    return json;
}

void WriterSequences::load(const nlohmann::json &json)
{
    m_lastByWriter.clear();
    m_writerByOffset.clear();
    for (const auto &[writer, record] : json.items()) {
        setLast(WriterId(writer), {record.at(0).get<std::uint64_t>(), record.at(1).get<Offset>()});
    }
}

} // namespace firefly
