#pragma once

#include "Core/Clock.h"

#include <algorithm>

namespace firefly::internal {

/// Share of a learned deviation that still counts after \a age without news: 1 at first, about a
/// half after \a halfTime, nothing after four of them.
inline double fading(Duration age, Duration halfTime)
{
    const double left = 1 - double(age.count()) / (4 * double(halfTime.count()));
    return left > 0 ? std::min(1.0, left * left) : 0;
}

} // namespace firefly::internal
