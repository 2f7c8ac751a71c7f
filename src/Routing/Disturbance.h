#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace firefly {

/// How much the batch tasks on a worker are expected to slow its urgent calls.
enum class Disturbance : std::uint8_t { Calm, Disturbed, Slow };

constexpr std::size_t DisturbanceCount = 3;
/// All values, from the best for urgent calls to the worst.
constexpr std::array<Disturbance, DisturbanceCount> AllDisturbances = {
    Disturbance::Calm, Disturbance::Disturbed, Disturbance::Slow};

} // namespace firefly
