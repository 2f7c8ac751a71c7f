#pragma once

#include <chrono>
#include <cstdint>

namespace firefly {

/// Time of day, in milliseconds since 1970; may jump.
inline std::int64_t unixMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace firefly
