#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace firefly {

/// Reads a whole number; nothing when \a text is anything else or beyond 10^15.
std::optional<std::int64_t> parseInteger(std::string_view text);

/// Reads a finite decimal number.
std::optional<double> parseNumber(std::string_view text);

/// Reads "64GiB", "512MiB" or a plain number of MiB.
std::optional<std::int64_t> parseMemoryMiB(std::string_view text);

/// Reads processors such as "4" or "0.5", as thousandths.
std::optional<std::int64_t> parseMilliProcessors(std::string_view text);

/// Writes what parseMemoryMiB() reads; \a memoryMiB must not be negative.
std::string memoryText(std::int64_t memoryMiB);

/// Writes what parseMilliProcessors() reads; \a milliProcessors must not be negative.
std::string processorsText(std::int64_t milliProcessors);

} // namespace firefly
