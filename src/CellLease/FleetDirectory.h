#pragma once

#include "CellLease/CellElection.h"
#include "CellLease/DirectoryRecord.h"
#include "Core/VmCapacity.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace firefly {

/// What the processes of the fleet publish about themselves and about the cells that they own.
///
/// All processes follow it in one partition of the store, so that the cost of routing requests does
/// not grow with processes times cells.  It is a hint: the claims of a cell decide who owns it.
class FleetDirectory
{
public:
    /// An owner publishes at least this often.
    static constexpr Duration CellInterval = std::chrono::milliseconds(700);
    /// A cell without a new publication for this long may have lost its owner.
    static constexpr Duration CellTimeout = std::chrono::seconds(3);
    static constexpr Duration VmInterval = std::chrono::seconds(4);
    /// A VM without an announcement for this long, measured to the latest of any VM, is left out.
    static constexpr Duration VmTimeout = std::chrono::seconds(13);
    /// VMs that started within the same such span, as those of a fleet that starts at once, are
    /// ordered by their names.
    static constexpr std::chrono::milliseconds StartSpan = std::chrono::seconds(1);
    /// Only a VM that announced itself this lately is worth a hand-over.
    static constexpr Duration HandoverFreshness = std::chrono::seconds(6);
    /// Candidates that follow the claims of a cell besides its owner.
    static constexpr int StandbyCount = 3;
    /// VMs that follow the claims of a cell whose owner may be lost: all of a small fleet.
    static constexpr int LostCellStandbyCount = 32;
    /// Their number doubles after each such time without an owner, in case they are lost too.
    static constexpr Duration StandbyGrowthInterval = std::chrono::seconds(5);
    /// An owner gives a cell up to a VM that has this many times more resources for it.  A move
    /// multiplies the resources of the cell by more than 1, so moves can't alternate.
    static constexpr double HandoverRatio = 3.0;
    /// A VM claims a cell last if, without other cells, it had this many times less resources for
    /// it than another VM has beside the cells that it owns.
    static constexpr double DeferenceRatio = 2.0;

    // Inputs

    /// Sets what the VM of this process, \a node, announces: it is known without being read back.
    void setSelf(const std::string &node, const VmAnnouncement &announcement);
    /// All records of the directory were read once.
    void onRead() { m_isRead = true; }
    void onVm(const std::string &node, const VmAnnouncement &announcement, TimePoint now);
    /// A VM has withdrawn its announcement.
    void onVmGone(const std::string &node);
    /// A publication of an owner of \a cell, whose renewal counts its publications.  One that is
    /// older than the latest known is ignored: the store may carry out an append late.
    void onCell(int cell, const OwnershipClaim &claim, TimePoint now);

    // Answers

    /// Latest publication about \a cell; null if there is none.
    const OwnershipClaim *findCell(int cell) const;
    /// True if a new publication about \a cell has been seen within CellTimeout.  The first one
    /// after the start may be old.
    bool isFresh(int cell, TimePoint now) const;
    /// Number of VMs that should follow the claims of \a cell to replace its owner.
    int standbyCount(int cell, TimePoint now) const;
    /// Number of VMs that announced themselves lately.
    std::size_t vmCount() const;
    /// Capacities of the VMs that announced themselves lately.
    std::vector<VmCapacity> capacities() const;
    /// Number of VMs that can give \a cell more resources than \a node, which owns or claims
    /// \a otherCells other cells, or as many but started later: a rolling restart comes to them
    /// last.  The last owner of the cell isn't counted.  A \a node that isn't known comes last, and
    /// so does one of more than LostCellStandbyCount VMs until its announcement has been read.
    /// O(VMs + cells).
    int rankOf(const std::string &node, int cell, int otherCells) const;
    /// Number of candidates that should claim \a cell before \a node: its rank, or as many as make
    /// it wait for CellElection::MaxClaimDelay while a VM is up that is much stronger, which may be
    /// late because it serves other cells.  O(VMs + cells).
    int claimRankOf(const std::string &node, int cell, int otherCells) const;
    /// True if \a node, which owns or claims \a otherCells other cells, should follow the claims of
    /// \a cell to replace its owner; no VM should before the directory has been read.
    bool isCandidate(const std::string &node, int cell, int otherCells, TimePoint now) const;
    /// True if some VM other than \a node, which owns \a ownedCells cells with \a cell, has
    /// HandoverRatio times its resources for the cell.  O(VMs + cells).
    bool hasMuchBetterOwner(const std::string &node, int cell, int ownedCells) const;

private:
    struct Vm
    {
        VmAnnouncement announcement;
        std::optional<TimePoint> seenAt; ///< Unset until the announcement has been read.
    };
    struct Cell
    {
        OwnershipClaim claim;
        std::optional<TimePoint> changedAt; ///< Unset until a second publication has been seen.
    };

    bool isSeenWithin(Duration span, const Vm &vm) const
    {
        return !vm.seenAt || *vm.seenAt + span >= m_latestVmAt;
    }
    /// True if some VM that is worth a hand-over, other than \a node and the last owner of \a cell,
    /// has at least \a share for the cell.
    bool hasOwnerWithShare(double share, const std::string &node, int cell) const;
    /// Number of cells other than \a cell that each VM owns.
    std::map<std::string, int> countOtherCells(int cell) const;

    std::map<std::string, Vm> m_vms; ///< By name.
    std::string m_self;              ///< Name of the VM of this process; empty if not set.
    bool m_isRead = false;
    std::map<int, Cell> m_cells;
    TimePoint m_latestVmAt{};
    std::optional<TimePoint> m_firstVmAt; ///< When the first VM became known.
};

} // namespace firefly
