#include "Entry/Proposals.h"

#include <utility>

namespace firefly {

void Proposals::add(std::uint64_t sequence, TimePoint deadline, Done done)
{
    m_waiting.emplace(sequence, Waiting{deadline, std::move(done)});
}

void Proposals::onRead(std::uint64_t sequence, const ProposalResult &result)
{
    const auto it = m_waiting.find(sequence);
    if (it == m_waiting.end()) {
        return;
    }
    const Done done = std::move(it->second.done);
    m_waiting.erase(it);
    done(result);
}

void Proposals::expire(TimePoint now)
{
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        if (now < it->second.deadline) {
            ++it;
            continue;
        }
        const Done done = std::move(it->second.done);
        it = m_waiting.erase(it);
        done(std::nullopt);
    }
}

} // namespace firefly
