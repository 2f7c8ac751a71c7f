#pragma once

#include "Core/Clock.h"

namespace firefly::internal {

/// Share of a learned deviation that still counts after \a age without news: 1 at first, a half
/// after \a halfTime.
inline double fading(Duration age, Duration halfTime)
{
    return double(halfTime.count()) / double(halfTime.count() + age.count());
}

} // namespace firefly::internal
