#pragma once

#include "Core/Clock.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace firefly::bench {

/// Counts requests and extra requests (retries and hedges) per second.
class ExtraLoad
{
public:
    void addRequest(Duration at) { ++second(at).requests; }
    void addExtra(Duration at) { ++second(at).extra; }

    /// Largest ratio of extra requests to requests over any 60 consecutive seconds.
    double worstMinuteRatio() const
    {
        constexpr std::size_t SecondsPerMinute = 60;
        double worst = 0;
        Second window;
        for (std::size_t i = 0; i < m_seconds.size(); ++i) {
            window.requests += m_seconds[i].requests;
            window.extra += m_seconds[i].extra;
            if (i >= SecondsPerMinute) {
                window.requests -= m_seconds[i - SecondsPerMinute].requests;
                window.extra -= m_seconds[i - SecondsPerMinute].extra;
            }
            if (i + 1 >= SecondsPerMinute && window.requests > 0) {
                worst = std::max(worst, double(window.extra) / double(window.requests));
            }
        }
        return worst;
    }

private:
    struct Second
    {
        std::uint64_t requests = 0;
        std::uint64_t extra = 0;
    };

    Second &second(Duration at)
    {
        const auto n = std::size_t(std::chrono::duration_cast<std::chrono::seconds>(at).count());
        if (m_seconds.size() <= n) {
            m_seconds.resize(n + 1);
        }
        return m_seconds[n];
    }

    std::vector<Second> m_seconds;
};

} // namespace firefly::bench
