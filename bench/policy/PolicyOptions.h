#pragma once

#include <optional>
#include <string>

namespace firefly::bench {

/// How workers under pressure are relieved.
enum class Relief { None, Damped, Undamped };

/// What of the policy is switched on in a run, besides the routing and placement rules.
struct PolicyOptions
{
    std::string name;
    bool ejection = true;     ///< Outliers are ejected.
    bool hedging = true;      ///< Slow idempotent calls are sent a second time.
    bool learning = true;     ///< Slowdowns are learned.
    bool correctSizes = true; ///< Declared sizes are corrected.
    bool batch = true;        ///< Batch jobs arrive.
    bool fairShedding = true; ///< Else a first-come queue that waits until the deadline.
    Relief relief = Relief::Damped;
    std::optional<double> urgentWeight; ///< In place of the site's.
};

} // namespace firefly::bench
