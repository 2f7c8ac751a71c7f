#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace firefly {

/// Parses an integer; nullopt if \a text is anything else or its magnitude exceeds 10^15.
std::optional<std::int64_t> parseInteger(std::string_view text);

/// Parses a finite decimal number; nullopt if \a text is anything else.
std::optional<double> parseNumber(std::string_view text);

/// Parses "64GiB", "512MiB" or a plain number of MiB.
std::optional<std::int64_t> parseMemoryMiB(std::string_view text);

/// Parses a number of processors such as "4" or "0.5", in thousandths.
std::optional<std::int64_t> parseMilliProcessors(std::string_view text);

/// Formats an amount for parseMemoryMiB(); \a memoryMiB must not be negative.
std::string formatMemory(std::int64_t memoryMiB);

/// Formats an amount for parseMilliProcessors(); \a milliProcessors must not be negative.
std::string formatProcessors(std::int64_t milliProcessors);

} // namespace firefly
