#pragma once

#include "Core/Id.h"
#include "Records/Record.h"

#include <concepts>

namespace firefly {

/// What a fold did with a record; the same on every reader.
enum class FoldVerdict {
    Accepted,  ///< The record took effect.
    Stale,     ///< It names a term or attempt that is no longer current.
    Conflict,  ///< It was based on a version that is no longer the newest.
    Duplicate, ///< It already took effect.
    Invalid,   ///< It names something that does not exist or breaks a rule.
};

/// A state that is a pure function of the log's records in offset order.
///
/// apply() must not depend on anything but the state and its arguments, and must leave the state
/// untouched unless it returns FoldVerdict::Accepted.
template <typename State, typename RecordType>
concept Foldable = requires(State &state, Offset offset, const RecordType &record)
{
    {
        state.apply(offset, record)
        } -> std::same_as<FoldVerdict>;
};

} // namespace firefly
