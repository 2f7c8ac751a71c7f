#pragma once

#include <cstddef>
#include <cstdint>

namespace firefly {

/// Dense index of a worker within one WorkerPool; reused once a removed worker has no work left.
enum class WorkerIndex : std::uint32_t {};

/// Position of \a worker in arrays with one element per worker.
constexpr std::size_t toPosition(WorkerIndex worker)
{
    return static_cast<std::size_t>(worker);
}

} // namespace firefly
