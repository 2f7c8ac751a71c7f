#pragma once

#include "Core/Clock.h"
#include "Ownership/OwnershipTimes.h"

#include <cstdint>
#include <optional>

namespace firefly {

/// Assigns sequence numbers to the syncs that renew one worker's lease within one term.
///
/// At most one number is in flight: until it is answered, a retry carries the same number, which
/// the worker accepts only once.  So delayed copies extend the lease at most once past the last
/// answered number, however late they arrive.  A task start carries the last answered number, and
/// the worker refuses it if it has accepted a later number or the lease has expired.
class LeaseRenewal
{
public:
    /// Returns the number to send now; none when no renewal is due or the last one may still be
    /// answered.  Without \a singleRenewal, a sync that timed out is not retried but followed by
    /// the next number.
    std::optional<std::uint64_t> nextNumber(TimePoint now, const OwnershipTimes &times,
                                            bool singleRenewal = true);
    /// Call when the worker answered \a number: accepted it, or refused it as already accepted.
    /// \returns false for a repeated answer and for a number that is not in flight.
    bool onAnswer(std::uint64_t number, TimePoint now);
    /// Call when the last copy of \a number failed; the worker may still receive it.
    void onFailure(std::uint64_t number);

    /// Last answered number; 0 before the first answer.
    std::uint64_t granted() const { return m_granted; }
    bool isInFlight() const { return m_isInFlight; }
    /// True when the last sent number is unanswered and its last copy failed.
    bool isUnanswered() const { return m_lastSent > m_granted && !m_isInFlight; }
    /// Time of the last answer.
    std::optional<TimePoint> answeredAt() const { return m_answeredAt; }
    /// Earliest time at which nextNumber() may return a number.
    TimePoint nextDue(const OwnershipTimes &times) const;

private:
    std::uint64_t m_granted = 0;  ///< Last answered number.
    std::uint64_t m_lastSent = 0; ///< Last sent number.
    bool m_isInFlight = false;    ///< The last number was sent and neither answered nor failed.
    TimePoint m_sentAt;           ///< When the last number was last sent.
    std::optional<TimePoint> m_answeredAt;
};

} // namespace firefly
