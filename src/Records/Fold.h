#pragma once

#include "Core/Id.h"
#include "Records/Record.h"

#include <concepts>

namespace firefly {

/// Result of applying a record to a fold; the same for every reader of the log.
enum class FoldResult {
    Accepted,  ///< The record took effect.
    Stale,     ///< The record names a term or attempt that is no longer current.
    Conflict,  ///< The record contradicts an earlier one, or was based on an old version.
    Duplicate, ///< The record already took effect.
    Invalid,   ///< The record names an unknown object or violates a rule.
};

/// State that is a pure function of the log's records in offset order.
///
/// apply() must depend on nothing but the state and its arguments, and must not change the state
/// unless it returns FoldResult::Accepted.
template <typename State, typename RecordType>
concept Foldable = requires(State &state, Offset offset, const RecordType &record)
{
    {
        state.apply(offset, record)
        } -> std::same_as<FoldResult>;
};

} // namespace firefly
