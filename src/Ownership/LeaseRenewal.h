#pragma once

#include "Core/Clock.h"
#include "Ownership/OwnershipTimes.h"

#include <cstdint>
#include <optional>

namespace firefly {

/// Numbers the syncs that renew one worker's lease, within one term.
///
/// At most one number is in flight: until it is answered, a repeat carries the same number, which
/// the worker accepts once.  So however late copies arrive, they extend the lease at most once past
/// the last answered number.  A start names the answered number, and the worker refuses it when a
/// later number was accepted or the lease lapsed.
class LeaseRenewal
{
public:
    /// Number to send now; none when no renewal is due or the last one may still be answered.
    /// Without \a singleRenewal a sync that timed out is followed by the next number instead.
    std::optional<std::uint64_t> next(TimePoint now, const OwnershipTimes &times,
                                      bool singleRenewal = true);
    /// The worker answered \a number: it took it now, or refused it as already taken.
    /// \returns false for an answer that came before, or that belongs to no number in flight.
    bool onAnswer(std::uint64_t number, TimePoint now);
    /// The last copy got no answer; it may still arrive.
    void onFailure(std::uint64_t number);

    /// The last answered number; 0 before the first.
    std::uint64_t granted() const { return m_granted; }
    bool isInFlight() const { return m_awaited; }
    /// True when the last number is unanswered and its last copy failed.
    bool isUnanswered() const { return m_number > m_granted && !m_awaited; }
    /// When the last answer came.
    std::optional<TimePoint> answeredAt() const { return m_answeredAt; }
    /// When next() may give a number.
    TimePoint nextDue(const OwnershipTimes &times) const;

private:
    std::uint64_t m_granted = 0; ///< The last answered number.
    std::uint64_t m_number = 0;  ///< The last sent number.
    bool m_awaited = false;      ///< A copy was sent and neither answered nor given up.
    TimePoint m_sentAt;          ///< When the last copy was sent.
    std::optional<TimePoint> m_answeredAt;
};

} // namespace firefly
