#pragma once

#include "Core/Id.h"
#include "Core/Outcome.h"
#include "Records/Fold.h"
#include "Records/Record.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace firefly {

/// An idempotency key; keys of different customers do not meet.
struct CallKey
{
    CustomerId customer;
    std::string key;

    bool operator==(const CallKey &) const = default;
    friend bool operator<(const CallKey &a, const CallKey &b)
    {
        return std::tie(a.customer, a.key) < std::tie(b.customer, b.key);
    }
};

/// What the log says about an idempotency key.
struct CallIntent
{
    EntryId entry;
    WriterId writer;
    RequestId request; ///< The request that may run the call.
    std::uint64_t bodyHash = 0;
    Offset intendedAt = 0;
    std::optional<Outcome> outcome; ///< Empty until concluded.
    std::string answer;             ///< Whole answer when the outcome is Answer or Failed.

    bool operator==(const CallIntent &) const = default;
};

/// Bounds of an IntentLedger.  Every reader of one log must use the same ones.
struct IntentLedgerLimits
{
    std::size_t maxKeys = 100'000;
    std::size_t maxAnswerBytes =
        std::size_t{64} * 1024 * 1024; ///< Sum over the kept answers, in bytes.
    Offset minRetention = 50'000;      ///< Offsets for which a key is kept whatever the pressure.
};

/// Fold of the records of non-idempotent calls.
///
/// The first intent of a key in log order wins, and only its request may run the call.  A NotRun
/// conclusion by that request reopens the key.  Keys are forgotten oldest first when there are too
/// many, but never within IntentLedgerLimits::minRetention: then a new intent is Invalid instead.
class IntentLedger
{
public:
    /// Longest idempotency key, in bytes; a longer one is Invalid.
    static constexpr std::size_t MaxKeyBytes = 256;

    IntentLedger() = default;
    explicit IntentLedger(IntentLedgerLimits limits)
        : m_limits(limits)
    {}

    /// Accepted for the winner; Duplicate for a later intent with the same body; Conflict for one
    /// with another body; Invalid when there is no room.
    FoldVerdict apply(Offset offset, const CallIntended &record);
    /// Accepted once, from the winner; Stale from any other request.
    FoldVerdict apply(Offset offset, const CallConcluded &record);

    /// The winning intent of \a key; nullptr when the key is open.
    const CallIntent *find(const CallKey &key) const;
    std::size_t size() const { return m_intents.size(); }

    nlohmann::json dump() const;
    /// The whole state, for a snapshot.
    nlohmann::json save() const;
    /// Replaces the state by one that save() gave.
    void load(const nlohmann::json &json);

private:
    /// Forgets old keys, never \a kept, until \a moreKeys and \a moreBytes fit; false if they
    /// cannot.
    bool makeRoom(Offset offset, const CallKey &kept, std::size_t moreKeys, std::size_t moreBytes);
    bool isOverLimits(std::size_t moreKeys, std::size_t moreBytes) const;
    void add(const CallKey &key, CallIntent intent);
    void erase(const CallKey &key);

    IntentLedgerLimits m_limits;
    std::map<CallKey, CallIntent> m_intents;
    std::map<Offset, CallKey> m_byAge; ///< By offset of the intent.
    std::size_t m_answerBytes = 0;
};

} // namespace firefly
