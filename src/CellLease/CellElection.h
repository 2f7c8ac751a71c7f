#pragma once

#include "Cell/CellMessages.h"
#include "Core/Clock.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace firefly {

/// A claim to own a cell: one record of the cell's ownership topic.
struct OwnershipClaim
{
    Epoch epoch = 0;
    std::string holder;        ///< Incarnation of the owner process; empty after its resignation.
    std::string node;          ///< Name of the owner's VM.
    Endpoint endpoint;         ///< Where the owner accepts requests of other processes.
    std::uint64_t renewal = 0; ///< Counts the claims of the holder; orders those of one epoch.
    std::map<std::string, int> pendingByQueue; ///< Number of jobs without a started task.
    CellLoad load;
    std::map<std::string, ServiceRoom> rooms; ///< By service; only in the directory.
    /// Jobs of other cells whose tasks were given up here; only in the directory.
    std::vector<JobId> givenUpJobs;
    bool isLeaving = false; ///< The holder goes on until a process that is ready claims the cell.
};

/// Leader election for a cell by conditional appends to its ownership topic.
///
/// A claim is appended only if the topic has not grown since it was read, so that one of several
/// candidates wins.  Therefore a claim counts once it is stored; it need not be read back.  The
/// owner renews its claim; others may claim the cell after OwnerTimeout without a renewal.  The new
/// owner's higher epoch fences the earlier owner at the store and at each worker that it reaches;
/// no order of the earlier owner takes effect after the ordersUntil() of its last renewal.
///
/// An owner that stops or yields may announce this first.  A process that has loaded the cell's
/// jobs then claims without waiting for the release or the timeout.  As after a release, no order
/// of the owner takes effect later than maxLease after its first announcement.
class CellElection
{
public:
    static constexpr Duration RenewInterval = std::chrono::milliseconds(700);
    /// Time without a renewal after which others may claim: three renewals and some delay.
    static constexpr Duration OwnerTimeout = std::chrono::milliseconds(2200);
    /// Delay of a claim for each better candidate, which keeps them from claiming at the same time.
    static constexpr Duration ClaimDelayPerRank = std::chrono::milliseconds(30);
    /// Upper limit of the delay, so that a lone process soon owns all cells.
    static constexpr Duration MaxClaimDelay = std::chrono::milliseconds(600);

    struct Options
    {
        std::string holder;
        std::string node;
        Endpoint endpoint;
        Duration maxLease = std::chrono::seconds(6);
    };

    explicit CellElection(Options options);

    // Inputs

    /// The topic was read up to position \a end.
    void onRead(std::uint64_t end, TimePoint now);
    void onReadFailed();
    /// \a claim was read; it has no effect unless it is newer than claim().
    void onClaim(const OwnershipClaim &claim, TimePoint now);
    /// The latest claim was stored; the topic then ended at \a end.
    void onAppended(std::uint64_t end, TimePoint now);
    /// The latest claim was not stored, since the topic had grown to \a end.
    void onAppendRefused(std::uint64_t end, TimePoint now);
    /// The append of the latest claim failed otherwise, or its outcome is unknown.
    void onAppendFailed(TimePoint now);

    // Decisions

    /// A claim to append on condition that the topic ends at \a position.
    struct Append
    {
        OwnershipClaim claim;
        std::uint64_t position = 0;
    };
    /// The append that is due now, if any.
    std::optional<Append> next(TimePoint now);
    /// Releases the cell with the next append, if it is owned, and makes no further claims.
    void resign() { m_isResigning = true; }
    bool isResigning() const { return m_isResigning; }
    /// Releases the cell with the next append; this process may claim it again.
    void yield() { m_isYielding = isOwner(); }
    /// Announces with the next append that this owner leaves, and releases the cell with the first
    /// append from \a until on, unless another process has claimed it.  Delays the release of
    /// resign().  The first call under an epoch counts.
    void handOver(TimePoint until);
    /// Sets since when this process could serve the cell at once; unset if it would have to load
    /// the jobs first.
    void setReadySince(std::optional<TimePoint> since) { m_readySince = since; }
    /// Ends the ownership of this process until it wins a new claim.
    void giveUp() { m_givenUpEpoch = m_claim.epoch; }
    /// Sets the number of candidates that should claim the cell before this one.
    void setClaimRank(int rank) { m_claimRank = rank; }
    /// Sets the counts that the next claim publishes.
    void setPending(std::map<std::string, int> pending) { m_pending = std::move(pending); }
    /// Sets the load that the next claim publishes.
    void setLoad(const CellLoad &load) { m_load = load; }
    const std::map<std::string, int> &pending() const { return m_pending; }
    const CellLoad &load() const { return m_load; }

    /// True while an append that would make this process the owner awaits its answer.
    bool isClaiming() const { return m_isAppending && !isOwner(); }
    /// True if the latest claim names this process, which has not given it up.
    bool isOwner() const;
    /// True while no other process can have become the owner.
    bool isExclusiveOwner(TimePoint now) const;
    /// True if the topic is being read.
    bool isConnected() const { return m_isConnected; }
    Epoch epoch() const { return m_claim.epoch; }
    /// Latest deadline that orders of this process may have; zero when it may give none.
    TimePoint ordersUntil() const;
    /// Another process may own the cell from then on, though the orders of this one may go on.
    TimePoint startsUntil() const { return std::min(ordersUntil(), m_renewedAt + OwnerTimeout); }
    /// Time by which all orders of earlier owners have expired.
    TimePoint earlierOrdersExpiry() const { return m_earlierOrdersExpiry; }
    const OwnershipClaim &claim() const { return m_claim; }
    bool hasOwner() const { return !m_claim.holder.empty(); }
    TimePoint claimSeenAt() const { return m_claimSeenAt; }
    /// Since when no renewal has been read though the topic is; the owner's timeout begins here.
    TimePoint silentSince() const { return std::max(m_claimSeenAt, m_connectedSince); }
    /// True if the topic is known to have claims that were not read; none is sent until they are.
    bool hasUnreadClaims() const { return m_knownEnd < m_topicEnd; }
    /// Highest known end of the topic.
    std::uint64_t topicEnd() const { return m_topicEnd; }

private:
    bool isNewer(const OwnershipClaim &claim) const;
    /// Makes \a claim the latest one.
    void apply(const OwnershipClaim &claim, TimePoint now);
    bool mayClaim(TimePoint now) const;
    bool isRenewalDue(TimePoint now) const;

    Options m_options;
    OwnershipClaim m_claim;
    TimePoint m_claimSeenAt{};
    TimePoint m_connectedSince{};
    bool m_isConnected = false;
    bool m_hasRead = false;
    bool m_isAppending = false;
    bool m_isResigning = false;
    bool m_isYielding = false;
    std::optional<TimePoint> m_handOverUntil; ///< Set while the latest claim is to be handed over.
    std::optional<TimePoint> m_announcedAt;   ///< When the first announcement of that was sent.
    std::optional<TimePoint> m_readySince;
    /// Epoch whose release this process has sent; it gives no more orders under this epoch.
    Epoch m_releasedEpoch = 0;
    int m_claimRank = 0;
    Epoch m_givenUpEpoch = 0;
    std::uint64_t m_topicEnd = 0; ///< Highest end seen in reads and responses to appends.
    std::uint64_t m_knownEnd = 0; ///< All claims before this position are known.
    Append m_lastSent;            ///< Latest append; awaits its answer while m_isAppending.
    std::uint64_t m_renewal = 0;
    TimePoint m_appendSentAt{};
    TimePoint m_renewedAt{}; ///< When the latest successful claim was sent.
    TimePoint m_retryAt{};
    TimePoint m_earlierOrdersExpiry{};
    std::map<std::string, int> m_pending;
    CellLoad m_load;
};

} // namespace firefly
