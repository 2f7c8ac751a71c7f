#pragma once

#include "Cell/CellMessages.h"
#include "Core/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace firefly {

/// One record of a cell's ownership topic.
struct OwnershipClaim
{
    Epoch epoch = 0;
    std::string holder; ///< Incarnation of the owning process; empty once it has resigned.
    std::string node;   ///< Name of its VM.
    Endpoint endpoint;  ///< Where the owner takes requests of other processes.
    std::uint64_t renewal = 0;
    std::map<std::string, int> pendingByQueue; ///< Jobs without a started task.
    CellLoad load;
};

/// Decides who owns a cell, from the records of its ownership topic.
///
/// A claim is appended on condition that the topic has not grown, so of several candidates one
/// wins.  The owner renews its claim; a claim that isn't renewed for ClaimAfter is open to others.
/// The new owner's higher epoch fences the earlier one at the store and at each worker that it
/// reaches; no order of the earlier owner takes effect after ordersUntil() of its last renewal.
class CellElection
{
public:
    static constexpr Duration RenewInterval = std::chrono::milliseconds(700);
    /// Earliest renewal to tell others a load that has clearly changed.
    static constexpr Duration LoadInterval = std::chrono::milliseconds(200);
    static constexpr double ClearChange = 0.05;
    /// Silence after which others may claim; three renewals and some delay.
    static constexpr Duration ClaimAfter = std::chrono::milliseconds(2200);
    /// Pause before a claim by place in the order of candidates, so that one goes first.
    static constexpr Duration LongestHeadStart = std::chrono::milliseconds(400);

    struct Options
    {
        std::string holder;
        std::string node;
        Endpoint endpoint;
        Duration maxLease = std::chrono::seconds(6);
        Duration headStart{}; ///< Of the others before this candidate.
    };

    explicit CellElection(Options options);

    // Inputs

    /// The topic was read up to \a end.
    void onRead(std::uint64_t end, TimePoint now);
    void onReadFailed();
    void onClaim(const OwnershipClaim &claim, TimePoint now);
    void onAppended(std::uint64_t end, TimePoint now);
    /// The append of the last claim was refused, or its outcome is unknown.
    void onAppendFailed(TimePoint now);

    // Decisions

    /// The claim to append now, on condition that the topic ends at its position.
    struct Append
    {
        OwnershipClaim claim;
        std::uint64_t position = 0;
    };
    std::optional<Append> next(TimePoint now);
    /// Gives the cell up as soon as the next claim is appended.
    void resign() { m_isResigning = true; }
    /// Ends this process's ownership; it serves the cell again only by a new claim.
    void giveUp() { m_givenUpEpoch = m_claim.epoch; }
    /// Candidates that already have cells let others go first, by a head start for each cell.
    void setCellsBeside(int count) { m_cellsBeside = count; }
    void setPending(std::map<std::string, int> pending) { m_pending = std::move(pending); }
    void setLoad(const CellLoad &load) { m_load = load; }

    /// An append that would make this process owner is under way.
    bool isClaiming() const { return m_isAppending && !isOwner(); }
    /// The newest claim holds this process, which has not given it up.
    bool isOwner() const;
    /// True while nobody else can have become owner.
    bool isSurelyOwner(TimePoint now) const;
    Epoch epoch() const { return m_claim.epoch; }
    /// Leases and starts may be granted up to here.
    TimePoint ordersUntil() const;
    /// By then all orders of the owners before this one have expired.
    TimePoint earlierOrdersEnd() const { return m_earlierOrdersEnd; }
    const OwnershipClaim &claim() const { return m_claim; }
    bool hasOwner() const { return !m_claim.holder.empty(); }
    TimePoint claimSeenAt() const { return m_claimSeenAt; }

private:
    bool isOpen(TimePoint now) const;
    bool isRenewalDue(TimePoint now) const;

    Options m_options;
    OwnershipClaim m_claim;
    TimePoint m_claimSeenAt{};
    TimePoint m_contactSince{};
    bool m_hasContact = false;
    bool m_hasRead = false;
    bool m_isAppending = false;
    bool m_isResigning = false;
    bool m_hasSentResignation = false;
    int m_cellsBeside = 0;
    Epoch m_givenUpEpoch = 0;
    std::uint64_t m_position = 0; ///< Where the topic ends, from reads and own appends.
    std::uint64_t m_readEnd = 0;
    std::uint64_t m_renewal = 0;
    TimePoint m_appendSentAt{};
    TimePoint m_renewedAt{}; ///< When the newest renewal that counts was sent.
    TimePoint m_retryAt{};
    TimePoint m_earlierOrdersEnd{};
    std::map<std::string, int> m_pending;
    CellLoad m_load;
};

} // namespace firefly
