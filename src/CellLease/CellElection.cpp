#include "CellLease/CellElection.h"

#include <algorithm>
#include <cmath>

namespace firefly {
namespace {

/// Further cells of a candidate delay it no more, so that a lone process takes all of them soon.
constexpr int MostHeadStarts = 3;
constexpr Duration RetryPause = std::chrono::milliseconds(250);
/// A worker's clock may be 2 % slow; the rest covers calls under way.
constexpr Duration ClockMargin = std::chrono::milliseconds(500);

Duration withSlowClock(Duration duration)
{
    return duration + duration / 50 + ClockMargin;
}

} // namespace

CellElection::CellElection(Options options)
    : m_options(std::move(options))
{}

void CellElection::onRead(std::uint64_t end, TimePoint now)
{
    if (!m_hasContact) {
        m_hasContact = true;
        m_contactSince = now;
    }
    m_hasRead = true;
    m_readEnd = std::max(m_readEnd, end);
    m_position = std::max(m_position, end);
}

void CellElection::onReadFailed()
{
    m_hasContact = false;
}

void CellElection::onClaim(const OwnershipClaim &claim, TimePoint now)
{
    if (claim.epoch < m_claim.epoch) {
        return;
    }
    const bool isMine = claim.holder == m_options.holder;
    if (isMine && claim.renewal == m_renewal) {
        m_renewedAt = std::max(m_renewedAt, m_appendSentAt);
    }
    if (isMine && claim.epoch > m_claim.epoch) {
        // An owner that has resigned gives no orders any more; its leases go on.
        const Duration ordersAfter = hasOwner() ? ClaimAfter : Duration{};
        m_earlierOrdersEnd = m_claim.epoch == 0
                                 ? now
                                 : m_claimSeenAt + withSlowClock(m_options.maxLease + ordersAfter);
    }
    m_claim = claim;
    m_claimSeenAt = now;
}

void CellElection::onAppended(std::uint64_t end, TimePoint now)
{
    m_isAppending = false;
    m_position = std::max(m_position, end);
    m_renewedAt = std::max(m_renewedAt, m_appendSentAt);
    m_retryAt = now;
}

void CellElection::onAppendFailed(TimePoint now)
{
    m_isAppending = false;
    m_retryAt = now + RetryPause;
}

bool CellElection::isOwner() const
{
    return m_claim.holder == m_options.holder && !m_options.holder.empty()
           && m_claim.epoch > m_givenUpEpoch;
}

bool CellElection::isSurelyOwner(TimePoint now) const
{
    return isOwner() && now < m_renewedAt + ClaimAfter;
}

TimePoint CellElection::ordersUntil() const
{
    // The record of a resignation may already be read by others.
    return isOwner() && !m_hasSentResignation ? m_renewedAt + ClaimAfter + m_options.maxLease
                                              : TimePoint{};
}

bool CellElection::isOpen(TimePoint now) const
{
    const Duration headStart =
        m_options.headStart + std::min(m_cellsBeside, MostHeadStarts) * LongestHeadStart;
    if (!hasOwner() || m_claim.node == m_options.node) {
        // Resigned, never owned, or held by an earlier incarnation of this process.
        return now >= std::max(m_claimSeenAt, m_contactSince) + headStart;
    }
    return now >= std::max(m_claimSeenAt, m_contactSince) + ClaimAfter + headStart;
}

bool CellElection::isRenewalDue(TimePoint now) const
{
    const double change = std::abs(m_load.reserving - m_claim.load.reserving)
                          + std::abs(m_load.filling - m_claim.load.filling);
    return now >= m_renewedAt + (change > ClearChange ? LoadInterval : RenewInterval);
}

std::optional<CellElection::Append> CellElection::next(TimePoint now)
{
    if (m_isAppending || !m_hasRead || now < m_retryAt) {
        return std::nullopt;
    }
    Append append;
    append.position = m_position;
    append.claim = m_claim;
    append.claim.pendingByQueue = m_pending;
    append.claim.load = m_load;
    if (isOwner()) {
        if (!m_isResigning && !isRenewalDue(now)) {
            return std::nullopt;
        }
        if (m_isResigning) {
            m_hasSentResignation = true;
            append.claim.holder.clear();
        }
    } else {
        const bool isUnread = m_readEnd < m_position;
        if (m_isResigning || !m_hasContact || isUnread || !isOpen(now)) {
            return std::nullopt;
        }
        append.claim.epoch = m_claim.epoch + 1;
        append.claim.holder = m_options.holder;
        append.claim.node = m_options.node;
        append.claim.endpoint = m_options.endpoint;
        // The counts of the owner before hold until the new one knows its jobs.
        m_pending = m_claim.pendingByQueue;
        append.claim.pendingByQueue = m_pending;
    }
    append.claim.renewal = ++m_renewal;
    m_isAppending = true;
    m_appendSentAt = now;
    return append;
}

} // namespace firefly
