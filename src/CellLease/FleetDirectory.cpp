#include "CellLease/FleetDirectory.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace firefly {
namespace {

/// Bandwidth that an owner needs for each core that it uses.
constexpr double LinkMbpsPerCore = 20.0;

/// Resources that \a vm has for each of \a cells cells, as a share of one core.
double shareForCell(const VmCapacity &vm, int cells)
{
    return std::min(vm.cpuShare, vm.linkMbps / LinkMbpsPerCore) / std::max(1, cells);
}

/// Orders VMs with equal resources: the latest starts first.  The start comes from the
/// announcement, so that all processes agree on the order.
std::int64_t startOrder(const VmAnnouncement &announcement)
{
    return -(announcement.startedAtUnixMs / FleetDirectory::StartSpan.count());
}

/// Orders VMs with equal resources and starts, differently for each cell.
std::size_t tieBreaker(const std::string &node, int cell)
{
    return std::hash<std::string>()(node + "/" + std::to_string(cell));
}

} // namespace

void FleetDirectory::setSelf(const std::string &node, const VmAnnouncement &announcement)
{
    m_self = node;
    m_vms[node] = {announcement, std::nullopt};
}

void FleetDirectory::onVm(const std::string &node, const VmAnnouncement &announcement,
                          TimePoint now)
{
    Vm &vm = m_vms[node];
    if (node == m_self && announcement.startedAtUnixMs != vm.announcement.startedAtUnixMs) {
        return; // By an earlier process of this VM.
    }
    vm = {announcement, now};
    m_firstVmAt = m_firstVmAt.value_or(now);
    m_latestVmAt = std::max(m_latestVmAt, now);
}

void FleetDirectory::onVmGone(const std::string &node)
{
    // The record of this VM is by an earlier process, or this one is about to end.
    if (node != m_self) {
        m_vms.erase(node);
    }
}

void FleetDirectory::onCell(int cell, const OwnershipClaim &claim, TimePoint now)
{
    const auto [it, isNew] = m_cells.try_emplace(cell);
    Cell &entry = it->second;
    const auto position = [](const OwnershipClaim &it) { return std::pair(it.epoch, it.renewal); };
    if (!isNew && position(claim) <= position(entry.claim)) {
        return;
    }
    if (!isNew) {
        entry.changedAt = now;
    }
    entry.claim = claim;
}

const OwnershipClaim *FleetDirectory::findCell(int cell) const
{
    const auto it = m_cells.find(cell);
    return it == m_cells.end() ? nullptr : &it->second.claim;
}

bool FleetDirectory::isFresh(int cell, TimePoint now) const
{
    const auto it = m_cells.find(cell);
    return it != m_cells.end() && it->second.changedAt && now - *it->second.changedAt < CellTimeout;
}

int FleetDirectory::standbyCount(int cell, TimePoint now) const
{
    if (isFresh(cell, now)) {
        return StandbyCount;
    }
    const auto it = m_cells.find(cell);
    const bool hasChanged = it != m_cells.end() && it->second.changedAt;
    const TimePoint lostAt =
        hasChanged ? *it->second.changedAt + CellTimeout : m_firstVmAt.value_or(now);
    int count = LostCellStandbyCount;
    for (TimePoint at = lostAt + StandbyGrowthInterval;
         at <= now && count < static_cast<int>(vmCount()); at += StandbyGrowthInterval) {
        count *= 2;
    }
    return count;
}

std::size_t FleetDirectory::vmCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_vms, [this](const auto &it) { return isSeenWithin(VmTimeout, it.second); }));
}

std::vector<VmCapacity> FleetDirectory::capacities() const
{
    std::vector<VmCapacity> result;
    for (const auto &[name, vm] : m_vms) {
        if (isSeenWithin(VmTimeout, vm)) {
            result.push_back(vm.announcement.capacity);
        }
    }
    return result;
}

std::map<std::string, int> FleetDirectory::countOtherCells(int cell) const
{
    std::map<std::string, int> counts;
    for (const auto &[number, entry] : m_cells) {
        if (number != cell && !entry.claim.holder.empty()) {
            ++counts[entry.claim.node];
        }
    }
    return counts;
}

int FleetDirectory::rankOf(const std::string &node, int cell, int otherCells) const
{
    const auto self = m_vms.find(node);
    const int known = static_cast<int>(vmCount());
    if (self == m_vms.end() || (!self->second.seenAt && known > LostCellStandbyCount)) {
        return known;
    }
    const auto otherCounts = countOtherCells(cell);
    const OwnershipClaim *last = findCell(cell);
    const auto keyOf = [cell](const std::string &name, const Vm &vm, int others) {
        return std::tuple(-shareForCell(vm.announcement.capacity, others + 1),
                          startOrder(vm.announcement), tieBreaker(name, cell));
    };
    const auto own = keyOf(node, self->second, otherCells);
    int rank = 0;
    for (const auto &[name, vm] : m_vms) {
        if (name == node || !isSeenWithin(VmTimeout, vm) || (last && last->node == name)) {
            continue;
        }
        const auto count = otherCounts.find(name);
        const int others = count == otherCounts.end() ? 0 : count->second;
        rank += keyOf(name, vm, others) < own ? 1 : 0;
    }
    return rank;
}

bool FleetDirectory::isCandidate(const std::string &node, int cell, int otherCells,
                                 TimePoint now) const
{
    return m_isRead && rankOf(node, cell, otherCells) < standbyCount(cell, now);
}

int FleetDirectory::claimRankOf(const std::string &node, int cell, int otherCells) const
{
    constexpr int LastRank = CellElection::MaxClaimDelay / CellElection::ClaimDelayPerRank;
    const int rank = rankOf(node, cell, otherCells);
    const auto self = m_vms.find(node);
    if (rank >= LastRank || self == m_vms.end()) {
        return rank;
    }
    const double needed = DeferenceRatio * shareForCell(self->second.announcement.capacity, 1);
    return hasOwnerWithShare(needed, node, cell) ? LastRank : rank;
}

bool FleetDirectory::hasMuchBetterOwner(const std::string &node, int cell, int ownedCells) const
{
    const auto self = m_vms.find(node);
    if (self == m_vms.end()) {
        return false;
    }
    const VmCapacity &capacity = self->second.announcement.capacity;
    return hasOwnerWithShare(HandoverRatio * shareForCell(capacity, ownedCells), node, cell);
}

bool FleetDirectory::hasOwnerWithShare(double share, const std::string &node, int cell) const
{
    const OwnershipClaim *last = findCell(cell);
    const auto otherCounts = countOtherCells(cell);
    return std::ranges::any_of(m_vms, [&](const auto &it) {
        const auto count = otherCounts.find(it.first);
        const int others = count == otherCounts.end() ? 0 : count->second;
        return it.first != node && !(last && last->node == it.first)
               && isSeenWithin(HandoverFreshness, it.second)
               && shareForCell(it.second.announcement.capacity, others + 1) >= share;
    });
}

} // namespace firefly
