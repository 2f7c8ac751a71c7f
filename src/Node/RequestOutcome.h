#pragma once

#include "Fleet/CallerRequest.h"

namespace firefly {

/// What a client may be told of its request, by the outcomes of the attempts to answer it.
///
/// "Not run" must be true: it is told only while no attempt may have been executed, or for requests
/// without an effect.
class RequestOutcome
{
public:
    explicit RequestOutcome(CallerVerb verb = CallerVerb::Query)
        : m_hasEffect(verb == CallerVerb::Submit || verb == CallerVerb::Cancel)
    {}

    /// Records the outcome of an attempt.
    void record(CallerOutcome outcome)
    {
        m_mayHaveRun = m_mayHaveRun || outcome == CallerOutcome::Unknown;
    }
    /// True if \a last, the outcome of the last attempt, is worth no further attempt.  A refusal
    /// doesn't settle a request that may have run before; a later answer may.
    bool isSettledBy(CallerOutcome last) const
    {
        const bool isOpen = last == CallerOutcome::NotRun || last == CallerOutcome::Unknown;
        return !isOpen && !(last == CallerOutcome::Refused && m_hasEffect && m_mayHaveRun);
    }
    bool hasCertainlyNotRun() const { return !m_mayHaveRun; }
    /// The outcome to tell the client if \a last is that of the last attempt.
    CallerOutcome told(CallerOutcome last) const;

private:
    bool m_hasEffect = false;
    bool m_mayHaveRun = false; ///< Some attempt may have been executed.
};

inline CallerOutcome RequestOutcome::told(CallerOutcome last) const
{
    switch (last) {
    case CallerOutcome::NotRun:
    case CallerOutcome::Refused:
        return m_hasEffect && m_mayHaveRun ? CallerOutcome::Unknown : last;
    case CallerOutcome::Elsewhere: // A second referral, which isn't followed.
        return m_hasEffect && m_mayHaveRun ? CallerOutcome::Unknown : CallerOutcome::NotRun;
    case CallerOutcome::Unknown:
        return m_hasEffect ? CallerOutcome::Unknown : CallerOutcome::NotRun;
    case CallerOutcome::Done:
    case CallerOutcome::NoSuchQueue:
    case CallerOutcome::NoSuchJob:
    case CallerOutcome::Malformed:
        break;
    }
    return last;
}

} // namespace firefly
