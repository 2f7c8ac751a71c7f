#include "CellLease/CellElection.h"

#include <algorithm>
#include <utility>

namespace firefly {
namespace {

constexpr Duration AppendRetryDelay = std::chrono::milliseconds(250);
/// Margin that covers calls in flight.
constexpr Duration ClockMargin = std::chrono::milliseconds(500);

/// \a duration on a worker's clock, which may be 2 % slow, as an upper bound on this process's
/// clock.
Duration allowForClockDrift(Duration duration)
{
    return duration + duration / 50 + ClockMargin;
}

} // namespace

CellElection::CellElection(Options options)
    : m_options(std::move(options))
{}

void CellElection::onRead(std::uint64_t end, TimePoint now)
{
    if (!m_isConnected) {
        m_isConnected = true;
        m_connectedSince = now;
    }
    m_hasRead = true;
    m_knownEnd = std::max(m_knownEnd, end);
    m_topicEnd = std::max(m_topicEnd, end);
}

void CellElection::onReadFailed()
{
    m_isConnected = false;
}

void CellElection::onClaim(const OwnershipClaim &claim, TimePoint now)
{
    if (!isNewer(claim)) {
        return;
    }
    if (claim.holder == m_options.holder && claim.renewal == m_renewal) {
        m_renewedAt = std::max(m_renewedAt, m_appendSentAt);
    }
    apply(claim, now);
}

bool CellElection::isNewer(const OwnershipClaim &claim) const
{
    // All claims of one epoch are by the same holder, also its release.
    return std::pair(claim.epoch, claim.renewal) > std::pair(m_claim.epoch, m_claim.renewal);
}

void CellElection::apply(const OwnershipClaim &claim, TimePoint now)
{
    if (claim.holder == m_options.holder && claim.epoch > m_claim.epoch) {
        // A resigned owner sends no more orders, but its leases are still valid.
        // The orders of an owner that leaves end as if it had resigned with its first announcement.
        const bool mayRenew = hasOwner() && !m_claim.isLeaving;
        const Duration ordersAfter = mayRenew ? OwnerTimeout : Duration{};
        m_earlierOrdersExpiry =
            m_claim.epoch == 0
                ? now
                : m_claimSeenAt + allowForClockDrift(m_options.maxLease + ordersAfter);
    }
    if (claim.epoch > m_claim.epoch) {
        m_isYielding = false;
        m_handOverUntil.reset();
        m_announcedAt.reset();
    }
    m_claim = claim;
    m_claimSeenAt = now;
}

void CellElection::handOver(TimePoint until)
{
    if (isOwner() && !m_handOverUntil) {
        m_handOverUntil = until;
    }
}

void CellElection::onAppended(std::uint64_t end, TimePoint now)
{
    m_isAppending = false;
    m_topicEnd = std::max(m_topicEnd, end);
    // All claims before the position of the append were known when it was sent.
    m_knownEnd = std::max(m_knownEnd, m_lastSent.position + 1);
    m_renewedAt = std::max(m_renewedAt, m_appendSentAt);
    m_retryAt = now;
    if (isNewer(m_lastSent.claim)) {
        apply(m_lastSent.claim, now);
    }
}

void CellElection::onAppendRefused(std::uint64_t end, TimePoint now)
{
    m_topicEnd = std::max(m_topicEnd, end);
    onAppendFailed(now);
}

void CellElection::onAppendFailed(TimePoint now)
{
    m_isAppending = false;
    m_retryAt = now + AppendRetryDelay;
}

bool CellElection::isOwner() const
{
    return m_claim.holder == m_options.holder && !m_options.holder.empty()
           && m_claim.epoch > m_givenUpEpoch;
}

bool CellElection::isExclusiveOwner(TimePoint now) const
{
    return isOwner() && m_claim.epoch > m_releasedEpoch && !m_announcedAt
           && now < m_renewedAt + OwnerTimeout;
}

TimePoint CellElection::ordersUntil() const
{
    if (!isOwner() || m_claim.epoch <= m_releasedEpoch) {
        // Others may already have read the resignation.
        return TimePoint{};
    }
    const TimePoint until = m_renewedAt + OwnerTimeout + m_options.maxLease;
    // Others may claim as soon as they have read the announcement.
    return m_announcedAt ? std::min(until, *m_announcedAt + m_options.maxLease) : until;
}

bool CellElection::mayClaim(TimePoint now) const
{
    const Duration claimDelay = std::min(m_claimRank * ClaimDelayPerRank, MaxClaimDelay);
    if (!hasOwner() || m_claim.node == m_options.node) {
        // The owner has resigned, there was none, or it was an earlier incarnation of this process.
        return now >= silentSince() + claimDelay;
    }
    if (m_claim.isLeaving && m_readySince && now >= *m_readySince + claimDelay) {
        return true;
    }
    return now >= silentSince() + OwnerTimeout + claimDelay;
}

bool CellElection::isRenewalDue(TimePoint now) const
{
    return now >= m_renewedAt + RenewInterval;
}

std::optional<CellElection::Append> CellElection::next(TimePoint now)
{
    if (m_isAppending || !m_hasRead || hasUnreadClaims() || now < m_retryAt) {
        return std::nullopt;
    }
    Append append;
    append.position = m_knownEnd;
    append.claim = m_claim;
    append.claim.pendingByQueue = m_pending;
    append.claim.load = m_load;
    if (isOwner()) {
        // A release that was sent may have been stored even if its append failed: it is repeated,
        // never followed by a renewal.
        const bool isHandingOver = m_handOverUntil && now < *m_handOverUntil;
        const bool isGivingUp = m_isResigning || m_isYielding || m_handOverUntil;
        const bool isReleasing = (isGivingUp && !isHandingOver) || m_releasedEpoch == m_claim.epoch;
        const bool isAnnouncementDue = isHandingOver && !m_claim.isLeaving;
        if (!isReleasing && !isAnnouncementDue && !isRenewalDue(now)) {
            return std::nullopt;
        }
        if (isReleasing) {
            m_releasedEpoch = m_claim.epoch;
            m_isYielding = false;
            append.claim.holder.clear();
        } else if (isHandingOver) {
            // A repeated announcement must not extend the orders: the first may have been read.
            m_announcedAt = m_announcedAt.value_or(now);
            append.claim.isLeaving = true;
        }
    } else {
        if (m_isResigning || !m_isConnected || !mayClaim(now)) {
            return std::nullopt;
        }
        append.claim.epoch = (m_claim.epoch / FencesPerEpoch + 1) * FencesPerEpoch;
        append.claim.holder = m_options.holder;
        append.claim.node = m_options.node;
        append.claim.endpoint = m_options.endpoint;
        append.claim.isLeaving = false;
        // The previous owner's counts apply until this one has loaded the jobs.
        m_pending = m_claim.pendingByQueue;
        append.claim.pendingByQueue = m_pending;
    }
    append.claim.renewal = ++m_renewal;
    m_isAppending = true;
    m_appendSentAt = now;
    m_lastSent = append;
    return append;
}

} // namespace firefly
