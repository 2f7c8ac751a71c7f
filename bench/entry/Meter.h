#pragma once

#include "bench/entry/HeapCount.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <ctime>

namespace firefly::bench {

/// What the entry was used for.
enum class Operation {
    Tick,
    SyncReply,
    LogRead,
    AppendReply,
    VmList,
    StartReply,
    Heartbeat,
    Call, ///< A caller's request or the reply of its worker.
    Command,
    Count
};

/// Processor time of the uses of one entry, by operation.
class Meter
{
public:
    struct Sum
    {
        std::int64_t count = 0;
        std::int64_t nanoseconds = 0;

        double mean() const
        {
            return count == 0 ? 0 : static_cast<double>(nanoseconds) / static_cast<double>(count);
        }
    };

    /// Runs \a work and adds the processor time it took.
    template <typename Work>
    auto measure(Operation operation, Work work)
    {
        const Span span(m_sums.at(static_cast<std::size_t>(operation)));
        return work();
    }

    const Sum &sum(Operation operation) const
    {
        return m_sums.at(static_cast<std::size_t>(operation));
    }
    void reset() { m_sums = {}; }
    std::int64_t total() const
    {
        std::int64_t nanoseconds = 0;
        for (const Sum &it : m_sums) {
            nanoseconds += it.nanoseconds;
        }
        return nanoseconds;
    }

    /// Processor time of this thread so far, in nanoseconds.
    static std::int64_t now()
    {
        constexpr std::int64_t NanosecondsPerSecond = 1'000'000'000;
        timespec time{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return time.tv_sec * NanosecondsPerSecond + time.tv_nsec;
    }

private:
    class Span
    {
    public:
        explicit Span(Sum &sum)
            : m_sum(sum)
            , m_begin(now())
        {}
        ~Span()
        {
            m_sum.nanoseconds += now() - m_begin;
            ++m_sum.count;
        }
        Span(const Span &) = delete;
        Span &operator=(const Span &) = delete;

    private:
        HeapCount m_heap;
        Sum &m_sum;
        std::int64_t m_begin;
    };

    std::array<Sum, static_cast<std::size_t>(Operation::Count)> m_sums{};
};

} // namespace firefly::bench
