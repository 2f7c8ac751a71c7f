#include "Cell/CellJournal.h"

#include "Core/Assert.h"

#include <algorithm>
#include <utility>

namespace firefly {

CellJournal::Entry &CellJournal::add(KeyedRecord record)
{
    const auto [it, isNew] = m_waitingByKey.try_emplace(record.key, m_waiting.size());
    if (isNew) {
        m_waiting.emplace_back();
    }
    Entry &entry = m_waiting[it->second];
    entry.record = std::move(record);
    return entry;
}

void CellJournal::put(KeyedRecord record, OnDurable onDurable)
{
    Entry &entry = add(std::move(record));
    if (onDurable) {
        entry.onDurable.push_back(std::move(onDurable));
    }
}

void CellJournal::putRefusable(KeyedRecord record, OnDurable onDurable, OnLost onLost)
{
    Entry &entry = add(std::move(record));
    entry.isRefusable = true;
    entry.onDurable.push_back(std::move(onDurable));
    entry.onLost.push_back(std::move(onLost));
}

bool CellJournal::addCallbacks(const std::string &key, OnDurable onDurable, OnLost onLost)
{
    Entry *entry = nullptr;
    if (const auto it = m_waitingByKey.find(key); it != m_waitingByKey.end()) {
        entry = &m_waiting[it->second];
    } else if (m_inFlight) {
        const auto same = std::ranges::find_if(
            *m_inFlight, [&key](const Entry &one) { return one.record.key == key; });
        entry = same == m_inFlight->end() ? nullptr : &*same;
    }
    if (!entry) {
        return false;
    }
    entry->onDurable.push_back(std::move(onDurable));
    entry->onLost.push_back(std::move(onLost));
    return true;
}

void CellJournal::whenDurable(OnDurable onDurable, OnLost onLost)
{
    Entry *last = nullptr;
    if (!m_waiting.empty()) {
        last = &m_waiting.back();
    } else if (m_inFlight) {
        last = &m_inFlight->back();
    }
    if (!last) {
        onDurable();
        return;
    }
    last->barriers.push_back(std::move(onDurable));
    if (onLost) {
        last->barriersLost.push_back(std::move(onLost));
    }
}

void CellJournal::moveBarriers(Entry &from, Entry *to)
{
    for (OnDurable &it : from.barriers) {
        if (to) {
            to->barriers.push_back(std::move(it));
        } else {
            it();
        }
    }
    for (OnLost &it : from.barriersLost) {
        if (to) {
            to->barriersLost.push_back(std::move(it));
        }
    }
    from.barriers.clear();
    from.barriersLost.clear();
}

void CellJournal::notifyDurable(const Entry &entry)
{
    for (const OnDurable &it : entry.onDurable) {
        it();
    }
    for (const OnDurable &it : entry.barriers) {
        it();
    }
}

void CellJournal::notifyLost(const Entry &entry, bool isDefinitelyLost)
{
    for (const OnLost &it : entry.onLost) {
        it(isDefinitelyLost);
    }
    for (const OnLost &it : entry.barriersLost) {
        it(isDefinitelyLost);
    }
}

std::optional<JournalBatch> CellJournal::next()
{
    if (m_isSent || (!m_inFlight && m_waiting.empty())) {
        return std::nullopt;
    }
    if (!m_inFlight) {
        std::size_t bytes = 0;
        std::size_t n = 0;
        while (n < m_waiting.size() && bytes < MaxBatchBytes) {
            const KeyedRecord &record = m_waiting[n].record;
            bytes += record.key.size() + (record.value ? record.value->size() : 0);
            ++n;
        }
        const auto cut = m_waiting.begin() + static_cast<std::ptrdiff_t>(n);
        m_inFlight.emplace(std::make_move_iterator(m_waiting.begin()),
                           std::make_move_iterator(cut));
        m_waiting.erase(m_waiting.begin(), cut);
        indexWaiting();
        m_mayBeStored = false;
        ++m_sequence;
    }
    m_isSent = true;
    JournalBatch batch;
    batch.sequence = m_sequence;
    for (const Entry &it : *m_inFlight) {
        batch.records.push_back(it.record);
    }
    return batch;
}

void CellJournal::onOutcome(AppendOutcome outcome)
{
    m_isStoring = outcome == AppendOutcome::Stored;
    FIREFLY_ASSERT(m_isSent, "an outcome requires a batch that awaits its answer");
    m_isSent = false;
    switch (outcome) {
    case AppendOutcome::Unknown:
        m_mayBeStored = true;
        return;
    case AppendOutcome::Rejected:
    case AppendOutcome::Fenced:
        return;
    case AppendOutcome::Stored:
        break;
    }
    const std::vector<Entry> stored = std::move(*m_inFlight);
    m_inFlight.reset();
    for (const Entry &it : stored) {
        notifyDurable(it);
    }
}

void CellJournal::refusePending()
{
    if (m_isSent) {
        return;
    }
    if (m_inFlight && !m_mayBeStored) {
        // The store has not seen this sequence number, so the batch may be formed again.
        m_waiting.insert(m_waiting.begin(), std::make_move_iterator(m_inFlight->begin()),
                         std::make_move_iterator(m_inFlight->end()));
        m_inFlight.reset();
        --m_sequence;
    }
    std::vector<Entry> kept;
    std::vector<Entry> refused;
    for (Entry &it : m_waiting) {
        (it.isRefusable ? refused : kept).push_back(std::move(it));
    }
    m_waiting = std::move(kept);
    indexWaiting();
    Entry *last = m_inFlight ? &m_inFlight->back() : nullptr;
    last = m_waiting.empty() ? last : &m_waiting.back();
    for (Entry &it : refused) {
        moveBarriers(it, last);
        notifyLost(it, true);
    }
}

void CellJournal::indexWaiting()
{
    m_waitingByKey.clear();
    for (std::size_t i = 0; i < m_waiting.size(); ++i) {
        m_waitingByKey[m_waiting[i].record.key] = i;
    }
}

void CellJournal::abandon()
{
    m_isStoring = true;
    const bool mayBeStored = m_mayBeStored || m_isSent;
    const auto inFlight = std::exchange(m_inFlight, std::nullopt);
    const auto waiting = std::exchange(m_waiting, {});
    m_waitingByKey.clear();
    m_isSent = false;
    m_mayBeStored = false;
    m_sequence = 0;
    if (inFlight) {
        for (const Entry &it : *inFlight) {
            notifyLost(it, !mayBeStored);
        }
    }
    for (const Entry &it : waiting) {
        notifyLost(it, true);
    }
}

} // namespace firefly
