#pragma once

#include "Core/Clock.h"

#include <algorithm>

namespace firefly::internal {

/// Weight of a learned value after \a age without observations: decays quadratically from 1 to
/// about one half at \a halfLife and to 0 at four times \a halfLife.
inline double decayFactor(Duration age, Duration halfLife)
{
    const double remaining = 1 - double(age.count()) / (4 * double(halfLife.count()));
    return remaining > 0 ? std::min(1.0, remaining * remaining) : 0;
}

} // namespace firefly::internal
