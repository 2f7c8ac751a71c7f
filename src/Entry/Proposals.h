#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"
#include "Records/Fold.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace firefly {

/// Offset and fold verdict of a record that this entry appended.
struct ProposalResult
{
    Offset offset = 0;
    FoldResult verdict = FoldResult::Invalid;
};

/// Callbacks of appended records that have not been read back from the log yet.
class Proposals
{
public:
    /// Receives the result, or nothing when the record was not read back by its deadline; called
    /// once.
    using Done = std::function<void(std::optional<ProposalResult>)>;

    void add(std::uint64_t sequence, TimePoint deadline, Done done);
    /// Completes the proposal of a record that this entry appended and read back.
    void onRead(std::uint64_t sequence, const ProposalResult &result);
    /// Fails every proposal whose deadline has passed.
    void expire(TimePoint now);
    std::size_t size() const { return m_pending.size(); }

private:
    struct PendingProposal
    {
        TimePoint deadline;
        Done done;
    };

    std::map<std::uint64_t, PendingProposal> m_pending;
};

} // namespace firefly
