#include "Recovery/CatchUp.h"

#include <nlohmann/json.hpp>

#include <variant>

namespace firefly {
namespace {

const char *toString(CatchUpState state)
{
    switch (state) {
    case CatchUpState::Reading:
        return "reading";
    case CatchUpState::Current:
        return "current";
    case CatchUpState::NeedsSnapshot:
        break;
    }
    return "needs-snapshot";
}

} // namespace

bool CatchUp::isBehindReader(const LogRead &read) const
{
    return m_state != CatchUpState::NeedsSnapshot && read.tail + 1 < m_next;
}

void CatchUp::detectTrimmedRecords(Offset head)
{
    if (head <= m_next) {
        return;
    }
    if (m_state != CatchUpState::NeedsSnapshot) {
        m_state = CatchUpState::NeedsSnapshot;
        m_assembly.clear();
    }
    m_next = head;
}

bool CatchUp::collectParts(const LogRead &read)
{
    for (const LoggedEnvelope &it : read.envelopes) {
        if (it.offset < m_next) {
            continue;
        }
        m_next = it.offset + 1;
        if (const auto *part = std::get_if<SnapshotPart>(&it.envelope.record)) {
            m_assembly.add(*part);
        }
    }
    const auto &newest = m_assembly.newest();
    return m_next > read.tail && newest && newest->covers + 1 >= read.head;
}

void CatchUp::finishRestore()
{
    m_next = m_assembly.newest().value().covers + 1;
    m_state = CatchUpState::Reading;
    ++m_restores;
    m_assembly.clear();
}

void CatchUp::rejectSnapshot(Offset head)
{
    m_assembly.rejectNewest();
    m_next = head;
}

nlohmann::json CatchUp::dump() const
{
    return {{"state", toString(m_state)}, {"next", m_next}, {"restores", m_restores}};
}

} // namespace firefly
