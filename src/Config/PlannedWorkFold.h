#pragma once

#include "Records/Fold.h"
#include "Records/Record.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <utility>

namespace firefly {

/// The planned work that operators have stopped, by customer and kind of job.
class PlannedWorkFold
{
public:
    /// Author and log offset of a stop.
    struct Stop
    {
        Offset since = 0;
        std::string author;
    };
    using Stops = std::map<std::pair<CustomerId, std::string>, Stop>;

    /// Starts or stops the planned work of one customer and kind.
    /// \returns Duplicate if it already is in the requested state, or the record was read before.
    FoldResult apply(Offset offset, const PlannedWorkSwitched &record);

    /// False if jobs of this customer and kind must not start, and running ones must be stopped.
    bool isRunning(const CustomerId &customer, const std::string &kind) const;
    const Stops &stops() const { return m_stops; }

    nlohmann::json save() const;
    /// \throws nlohmann::json::exception when \a saved is malformed; the state is then unchanged.
    void load(const nlohmann::json &saved);
    nlohmann::json dump() const;

private:
    Offset m_newestOffset = 0; ///< Offset of the newest accepted record.
    Stops m_stops;
};

} // namespace firefly
