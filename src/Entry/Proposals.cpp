#include "Entry/Proposals.h"

#include <utility>

namespace firefly {

void Proposals::add(std::uint64_t sequence, TimePoint deadline, Done done)
{
    m_pending.emplace(sequence, PendingProposal{deadline, std::move(done)});
}

void Proposals::onRead(std::uint64_t sequence, const ProposalResult &result)
{
    const auto it = m_pending.find(sequence);
    if (it == m_pending.end()) {
        return;
    }
    const Done done = std::move(it->second.done);
    m_pending.erase(it);
    done(result);
}

void Proposals::expire(TimePoint now)
{
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        if (now < it->second.deadline) {
            ++it;
            continue;
        }
        const Done done = std::move(it->second.done);
        it = m_pending.erase(it);
        done(std::nullopt);
    }
}

} // namespace firefly
