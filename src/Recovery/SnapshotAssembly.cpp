#include "Recovery/SnapshotAssembly.h"

#include "Core/Assert.h"

#include <algorithm>
#include <utility>

namespace firefly {

bool SnapshotAssembly::add(const SnapshotPart &part)
{
    if (!isUsable(part)) {
        return false;
    }
    Incomplete &snapshot = findOrCreate(part);
    if (snapshot.covers != part.covers || snapshot.parts.size() != part.count) {
        return false;
    }
    auto &slot = snapshot.parts[part.index];
    if (slot) {
        return false;
    }
    slot = part.data;
    if (--snapshot.missing > 0) {
        return false;
    }
    finishSnapshot(part.snapshot);
    return true;
}

bool SnapshotAssembly::isUsable(const SnapshotPart &part) const
{
    if (part.count > MaxParts || part.index >= part.count) {
        return false;
    }
    const bool isOld = m_newest && part.covers <= m_newest->covers;
    return !isOld && !m_rejected.contains(part.snapshot);
}

SnapshotAssembly::Incomplete &SnapshotAssembly::findOrCreate(const SnapshotPart &part)
{
    const auto known = m_incomplete.find(part.snapshot);
    if (known != m_incomplete.end()) {
        return known->second;
    }
    if (m_incomplete.size() >= MaxIncomplete) {
        dropOldest();
    }
    Incomplete created;
    created.covers = part.covers;
    created.parts.resize(part.count);
    created.missing = part.count;
    return m_incomplete.emplace(part.snapshot, std::move(created)).first->second;
}

void SnapshotAssembly::finishSnapshot(const std::string &name)
{
    const Incomplete &snapshot = m_incomplete.at(name);
    FIREFLY_ASSERT(!m_newest || snapshot.covers > m_newest->covers,
                   "a newer snapshot must cover more");
    CompleteSnapshot completed;
    completed.name = name;
    completed.covers = snapshot.covers;
    for (const auto &it : snapshot.parts) {
        FIREFLY_ASSERT(it.has_value(), "a complete snapshot must have every part");
        completed.text += *it;
    }
    m_newest = std::move(completed);
    std::erase_if(m_incomplete,
                  [&](const auto &it) { return it.second.covers <= m_newest->covers; });
}

void SnapshotAssembly::dropOldest()
{
    const auto isOlder = [](const auto &a, const auto &b) {
        return a.second.covers < b.second.covers;
    };
    m_incomplete.erase(std::min_element(m_incomplete.begin(), m_incomplete.end(), isOlder));
}

void SnapshotAssembly::rejectNewest()
{
    m_rejected.insert(m_newest.value().name);
    m_newest.reset();
    m_incomplete.clear();
}

void SnapshotAssembly::clear()
{
    m_rejected.clear();
    m_incomplete.clear();
    m_newest.reset();
}

} // namespace firefly
