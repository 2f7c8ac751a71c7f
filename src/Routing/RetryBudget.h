#pragma once

#include "Routing/RoutingSettings.h"

#include <algorithm>
#include <cstdint>

namespace firefly {

/// Limits the retries and hedges of one service to a share of its requests.
///
/// Over any period, the extra requests are at most ratio x requests + maxAccumulated.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetSettings &settings = {})
        : m_settings(settings)
    {}

    /// Records the dispatch of a first attempt.
    void recordRequest()
    {
        ++m_requests;
        m_available = std::min(m_available + m_settings.ratio, m_settings.maxAccumulated);
    }

    /// Consumes one extra request; false when the budget is exhausted.
    bool tryConsume()
    {
        if (m_available < 1) {
            return false;
        }
        m_available -= 1;
        ++m_extra;
        return true;
    }

    std::uint64_t requests() const { return m_requests; }
    std::uint64_t extraRequests() const { return m_extra; }
    double available() const { return m_available; }

private:
    RetryBudgetSettings m_settings;
    double m_available = 0;
    std::uint64_t m_requests = 0;
    std::uint64_t m_extra = 0;
};

} // namespace firefly
