#pragma once

#include <chrono>
#include <cstdint>

namespace firefly {

/// Wall-clock time, in milliseconds since 1970-01-01 UTC; may jump in either direction.
inline std::int64_t unixMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace firefly
