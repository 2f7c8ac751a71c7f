#pragma once

#include "Admission.h"

#include <deque>
#include <optional>
#include <vector>

namespace firefly::bench {

/// Baseline for admission: one first-come, first-served queue, in which a request waits until its
/// deadline.
class FirstComeQueue
{
public:
    void setLists(const PlansList &, const LimitsList &, TimePoint) {}

    Admission admit(const AdmissionRequest &request, const UrgentCapacity &capacity, TimePoint,
                    std::vector<Refused> &)
    {
        if (capacity.free > 0 && m_waiting.empty()) {
            return Admitted{.request = request.request};
        }
        m_waiting.push_back(request);
        return Queued{request.deadline};
    }

    std::optional<Admitted> admitNext()
    {
        if (m_waiting.empty()) {
            return std::nullopt;
        }
        const Admitted admitted{.request = m_waiting.front().request};
        m_waiting.pop_front();
        return admitted;
    }

    std::vector<Refused> expire(TimePoint now)
    {
        std::vector<Refused> refused;
        while (!m_waiting.empty() && m_waiting.front().deadline <= now) {
            refused.push_back({.request = m_waiting.front().request});
            m_waiting.pop_front();
        }
        return refused;
    }

    void finish(const Admitted &, std::optional<Duration>) {}
    std::size_t queued() const { return m_waiting.size(); }

private:
    std::deque<AdmissionRequest> m_waiting;
};

} // namespace firefly::bench
