#pragma once

#include "Records/Fold.h"
#include "Records/Record.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <utility>

namespace firefly {

/// Which planned work operators have stopped: batch jobs of one customer and kind.
class PlannedWorkFold
{
public:
    /// Who stopped it, and at which record.
    struct Stop
    {
        Offset since = 0;
        std::string author;
    };
    using Stops = std::map<std::pair<CustomerId, std::string>, Stop>;

    /// Starts or stops one kind of planned work.
    /// \returns Duplicate when it already is as the record says, or the record was read before.
    FoldVerdict apply(Offset offset, const PlannedWorkSwitched &record);

    /// False when jobs of this kind must not start and running ones are to be stopped.
    bool isRunning(const CustomerId &customer, const std::string &kind) const;
    const Stops &stops() const { return m_stops; }

    nlohmann::json save() const;
    /// \throws nlohmann::json::exception when \a saved is malformed; the state is then unchanged.
    void load(const nlohmann::json &saved);
    nlohmann::json dump() const;

private:
    Offset m_newest = 0; ///< Offset of the newest accepted record.
    Stops m_stops;
};

} // namespace firefly
