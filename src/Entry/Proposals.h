#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"
#include "Records/Fold.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace firefly {

/// What the fold made of a record that this entry appended.
struct ProposalResult
{
    Offset offset = 0;
    FoldVerdict verdict = FoldVerdict::Invalid;
};

/// Records that somebody waits for until they are read back.
class Proposals
{
public:
    /// Receives the result, or nothing when the record was not read back in time; called once.
    using Done = std::function<void(std::optional<ProposalResult>)>;

    void add(std::uint64_t sequence, TimePoint deadline, Done done);
    /// An own record was read back.
    void onRead(std::uint64_t sequence, const ProposalResult &result);
    /// Gives up on every proposal whose deadline has passed.
    void expire(TimePoint now);
    std::size_t size() const { return m_waiting.size(); }

private:
    struct Waiting
    {
        TimePoint deadline;
        Done done;
    };

    std::map<std::uint64_t, Waiting> m_waiting;
};

} // namespace firefly
