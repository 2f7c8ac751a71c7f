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

/// An idempotency key, unique per customer.
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

/// Winning intent of an idempotency key and, once concluded, its outcome.
struct CallIntent
{
    EntryId entry;
    WriterId writer;
    RequestId request; ///< The only request that may run the call.
    std::uint64_t bodyHash = 0;
    Offset intendedAt = 0;
    std::optional<Outcome> outcome; ///< None until concluded.
    std::string answer;             ///< Complete answer when the outcome is Answer or Failed.

    bool operator==(const CallIntent &) const = default;
};

/// Limits of an IntentLedger; every reader of a log must use the same ones.
struct IntentLedgerLimits
{
    std::size_t maxKeys = 100'000;
    std::size_t maxAnswerBytes =
        std::size_t{64} * 1024 * 1024; ///< Total size of the stored answers, in bytes.
    Offset minRetention = 50'000;      ///< Log offsets for which a key is never evicted.
};

/// Idempotency keys of non-idempotent calls, computed from the log records alone.
///
/// The first intent of a key in log order wins, and only its request may run the call.  A NotRun
/// conclusion by that request reopens the key.  Over the limits the oldest keys are evicted, but
/// none within IntentLedgerLimits::minRetention: a new intent is rejected as Invalid instead.
class IntentLedger
{
public:
    /// Maximum length of an idempotency key, in bytes; an intent with a longer one is Invalid.
    static constexpr std::size_t MaxKeyBytes = 256;

    IntentLedger() = default;
    explicit IntentLedger(IntentLedgerLimits limits)
        : m_limits(limits)
    {}

    /// Accepted for the winner; Duplicate for a later intent with the same body; Conflict for one
    /// with another body; Invalid for an empty or too long key and when the ledger is full.
    FoldResult apply(Offset offset, const CallIntended &record);
    /// Accepted for the winner's first conclusion, Duplicate for its later ones; Stale from any
    /// other request; Invalid for an unknown key.  An answer over the limits is stored as Unknown.
    FoldResult apply(Offset offset, const CallConcluded &record);

    /// The winning intent of \a key; nullptr when it has none.
    const CallIntent *find(const CallKey &key) const;
    std::size_t size() const { return m_intents.size(); }

    nlohmann::json dump() const;
    /// Returns the state for a snapshot.
    nlohmann::json save() const;
    /// Replaces the state by one that save() returned.
    void load(const nlohmann::json &json);

private:
    /// Evicts the oldest keys, except \a protectedKey, until \a moreKeys and \a moreBytes fit;
    /// false when they cannot be made to fit.
    bool evictUntilFits(Offset offset, const CallKey &protectedKey, std::size_t moreKeys,
                        std::size_t moreBytes);
    bool isOverLimits(std::size_t moreKeys, std::size_t moreBytes) const;
    void add(const CallKey &key, CallIntent intent);
    void erase(const CallKey &key);

    IntentLedgerLimits m_limits;
    std::map<CallKey, CallIntent> m_intents;
    std::map<Offset, CallKey> m_keysByOffset; ///< Keys by the offset of their intent, oldest first.
    std::size_t m_answerBytes = 0;
};

} // namespace firefly
