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
    Incomplete &snapshot = incomplete(part);
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
    complete(part.snapshot);
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

SnapshotAssembly::Incomplete &SnapshotAssembly::incomplete(const SnapshotPart &part)
{
    const auto known = m_incomplete.find(part.snapshot);
    if (known != m_incomplete.end()) {
        return known->second;
    }
    if (m_incomplete.size() >= MaxIncomplete) {
        dropOldest();
    }
    Incomplete fresh;
    fresh.covers = part.covers;
    fresh.parts.resize(part.count);
    fresh.missing = part.count;
    return m_incomplete.emplace(part.snapshot, std::move(fresh)).first->second;
}

void SnapshotAssembly::complete(const std::string &name)
{
    const Incomplete &snapshot = m_incomplete.at(name);
    FIREFLY_ASSERT(!m_newest || snapshot.covers > m_newest->covers, "a newer snapshot covers more");
    CompleteSnapshot done;
    done.name = name;
    done.covers = snapshot.covers;
    for (const auto &it : snapshot.parts) {
        FIREFLY_ASSERT(it.has_value(), "a complete snapshot has every part");
        done.text += *it;
    }
    m_newest = std::move(done);
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
