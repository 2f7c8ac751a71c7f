#pragma once

#include "bench/entry/HeapCount.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <ctime>

namespace firefly::bench {

/// Kind of the input that the entry processes.
enum class Operation {
    Tick,
    SyncReply,
    LogRead,
    AppendReply,
    VmList,
    StartReply,
    Heartbeat,
    Call,    ///< A caller's request or the worker's reply to it.
    Command, ///< A command for a job.
    Count    ///< Number of operations.
};

/// Measures the processor time that one entry takes, by operation.
class Meter
{
public:
    /// Number and total processor time of the uses for one operation.
    struct Sum
    {
        std::int64_t count = 0;
        std::int64_t nanoseconds = 0;

        /// Mean time of one use in nanoseconds; 0 if there was none.
        double mean() const
        {
            return count == 0 ? 0 : static_cast<double>(nanoseconds) / static_cast<double>(count);
        }
    };

    /// Runs \a work and adds its processor time to \a operation.
    template <typename Work>
    auto measure(Operation operation, Work work)
    {
        const ScopedMeasurement measurement(m_sums.at(static_cast<std::size_t>(operation)));
        return work();
    }

    const Sum &sum(Operation operation) const
    {
        return m_sums.at(static_cast<std::size_t>(operation));
    }
    void reset() { m_sums = {}; }
    /// Processor time of all operations, in nanoseconds.
    std::int64_t total() const
    {
        std::int64_t nanoseconds = 0;
        for (const Sum &it : m_sums) {
            nanoseconds += it.nanoseconds;
        }
        return nanoseconds;
    }

    /// Processor time that this thread has used so far, in nanoseconds.
    static std::int64_t now()
    {
        constexpr std::int64_t NanosecondsPerSecond = 1'000'000'000;
        timespec time{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return time.tv_sec * NanosecondsPerSecond + time.tv_nsec;
    }

private:
    /// Adds the processor time of its lifetime to a sum and enables heap counting meanwhile.
    class ScopedMeasurement
    {
    public:
        explicit ScopedMeasurement(Sum &sum)
            : m_sum(sum)
            , m_begin(now())
        {}
        ~ScopedMeasurement()
        {
            m_sum.nanoseconds += now() - m_begin;
            ++m_sum.count;
        }
        ScopedMeasurement(const ScopedMeasurement &) = delete;
        ScopedMeasurement &operator=(const ScopedMeasurement &) = delete;

    private:
        HeapCount m_heap;
        Sum &m_sum;
        std::int64_t m_begin;
    };

    std::array<Sum, static_cast<std::size_t>(Operation::Count)> m_sums{};
};

} // namespace firefly::bench
