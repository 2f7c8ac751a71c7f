#include "Recovery/WriterSequences.h"

#include <nlohmann/json.hpp>

namespace firefly {

bool WriterSequences::admit(const LoggedEnvelope &logged)
{
    const Envelope &envelope = logged.envelope;
    if (envelope.sequence <= last(envelope.writer)) {
        return false;
    }
    note(envelope.writer, {envelope.sequence, logged.offset});
    if (m_seen.size() > MaxWriters) {
        const auto oldest = m_byOffset.begin();
        m_seen.erase(oldest->second);
        m_byOffset.erase(oldest);
    }
    return true;
}

std::uint64_t WriterSequences::last(const WriterId &writer) const
{
    const auto it = m_seen.find(writer);
    return it == m_seen.end() ? 0 : it->second.sequence;
}

void WriterSequences::note(const WriterId &writer, Seen seen)
{
    Seen &known = m_seen[writer];
    m_byOffset.erase(known.offset);
    known = seen;
    m_byOffset.emplace(seen.offset, writer);
}

nlohmann::json WriterSequences::save() const
{
    nlohmann::json json = nlohmann::json::object();
    for (const auto &[writer, seen] : m_seen) {
        json[writer.value()] = {seen.sequence, seen.offset};
    }
    return json;
}

void WriterSequences::load(const nlohmann::json &json)
{
    m_seen.clear();
    m_byOffset.clear();
    for (const auto &[writer, seen] : json.items()) {
        note(WriterId(writer), {seen.at(0).get<std::uint64_t>(), seen.at(1).get<Offset>()});
    }
}

} // namespace firefly
