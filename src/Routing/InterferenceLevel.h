#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace firefly {

/// How much the batch tasks on a worker are expected to slow its urgent calls.
enum class InterferenceLevel : std::uint8_t { Low, Medium, High };

constexpr std::size_t InterferenceLevelCount = 3;
/// All levels, from the best for urgent calls to the worst.
constexpr std::array<InterferenceLevel, InterferenceLevelCount> AllInterferenceLevels = {
    InterferenceLevel::Low, InterferenceLevel::Medium, InterferenceLevel::High};

} // namespace firefly
