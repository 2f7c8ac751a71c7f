#pragma once

#include "Cell/CellState.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace firefly {

/// Room for long-running tasks on the workers of one service, beside the long-running tasks that
/// run there and those that wait.
///
/// Batch tasks on a worker count as room, as they end by themselves.
class LongRunningRoom
{
public:
    LongRunningRoom(const CellState &state, std::string_view service);

    /// True if tasks that have run before wait for a worker, or are about to.
    bool hasDisplaced() const { return m_displacedCount > 0; }
    /// Tasks that have run before and wait for a worker, or are about to.
    std::size_t displacedCount() const { return m_displacedCount; }
    /// False while workers exist of which it isn't known yet what they run.
    bool isKnown() const { return m_isKnown; }
    /// True if all long-running tasks of a new job \a spec have room beside the waiting tasks.
    /// O(tasks x workers).
    bool fits(const JobSpec &spec) const;

private:
    /// What the long-running tasks on a worker leave of its capacity.
    struct Piece
    {
        const CellWorker *worker = nullptr;
        ResourceVector free;
    };
    /// Tasks of one step that need room.
    struct StepDemand
    {
        const StepSpec *step = nullptr;
        std::optional<TaskRef> first; ///< The first task of the step; unset for a new job.
        std::uint32_t count = 0;
    };

    void addPieces(std::string_view service);
    void addWaiting(std::string_view service);
    /// Places the tasks of \a demand where they leave the least processor capacity; false if some
    /// don't fit.
    static bool place(const StepDemand &demand, std::vector<Piece> &pieces);

    const CellState &m_state;
    std::vector<Piece> m_pieces;
    std::vector<StepDemand> m_waiting; ///< Largest processor demand first.
    std::size_t m_displacedCount = 0;
    bool m_isKnown = false;
};

} // namespace firefly
