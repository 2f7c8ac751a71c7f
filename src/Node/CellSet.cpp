#include "Node/CellSet.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace firefly {
CellSet::CellSet(asio::io_context &context, const NodeSettings &settings, CellHost::Options options,
                 platform::StoreClient &store, StoreRetryPolicy &retries,
                 platform::WorkerClient &workers, EventLog &log, Metrics &metrics)
    : m_context(context)
    , m_settings(settings)
    , m_options(std::move(options))
    , m_store(store)
    , m_retries(retries)
    , m_workers(workers)
    , m_log(log)
    , m_metrics(metrics)
    , m_directory(context, settings, store, retries, log, metrics)
    , m_layoutLoader(context, store, retries, settings, log, m_directory.directory(),
                     [this](const CellLayout &layout) { applyLayout(layout); })
{}

void CellSet::applyLayout(const CellLayout &layout)
{
    m_layout = layout;
    // The first claims follow each other closely, and each changes the ranks of the candidates.
    m_directory.readOften();
    for (int cell = 0; cell < layout.cellCount(); ++cell) {
        CellHost::Options options = m_options;
        options.cell = cell;
        options.layout = layout;
        options.claimRank = [this, cell] {
            return m_directory.directory().claimRankOf(m_settings.node, cell,
                                                       otherClaimCount(cell));
        };
        options.shouldWatch = [this, cell] { return isCandidate(cell); };
        options.shouldRelease = [this, cell] {
            return m_directory.directory().hasMuchBetterOwner(m_settings.node, cell,
                                                              otherClaimCount(cell) + 1);
        };
        options.publish = [this, cell](const OwnershipClaim &claim) {
            m_directory.publish(cell, claim);
            m_directory.setOwner(claim.holder == m_options.incarnation
                                 || otherClaimCount(cell) > 0);
        };
        options.shouldHold = [this] {
            m_directory.readOften();
            return m_layout->cellCount() > 1 && m_referrals.shouldHold(Clock::now());
        };
        options.lessLoadedCell = [this, cell](const CellHost::NewJob &job, const CellLoad &own) {
            return lessLoadedCell(cell, job, own);
        };
        options.publishedClaim = [this](int other) {
            return m_directory.directory().findCell(other);
        };
        options.guestOffers = [this, cell](const std::string &service) {
            return guestOffers(cell, service);
        };
        options.sendDelegation = [this](const DelegationRequest &request,
                                        const OnCallerReply &done) {
            sendDelegation(request, done);
        };
        m_hosts.push_back(std::make_unique<CellHost>(m_context, m_settings, std::move(options),
                                                     m_store, m_retries, m_workers, m_log,
                                                     m_metrics));
        if (m_evacuatedZones) {
            m_hosts.back()->setEvacuatedZones(*m_evacuatedZones);
        }
        if (m_isResigning) {
            m_hosts.back()->resign();
        }
    }
}

CellHost *CellSet::find(int cell)
{
    const bool isKnown = cell >= 0 && cell < static_cast<int>(m_hosts.size());
    return isKnown ? m_hosts[static_cast<std::size_t>(cell)].get() : nullptr;
}

int CellSet::otherClaimCount(int cell) const
{
    int count = 0;
    for (int i = 0; i < static_cast<int>(m_hosts.size()); ++i) {
        const CellElection &election = m_hosts[static_cast<std::size_t>(i)]->election();
        count += i != cell && (election.isOwner() || election.isClaiming()) ? 1 : 0;
    }
    return count;
}

bool CellSet::isCandidate(int cell) const
{
    return !m_isResigning
           && m_directory.directory().isCandidate(m_settings.node, cell, otherClaimCount(cell),
                                                  Clock::now());
}

const OwnershipClaim *CellSet::claimOf(int cell) const
{
    const OwnershipClaim *published = m_directory.directory().findCell(cell);
    const CellHost &host = *m_hosts[static_cast<std::size_t>(cell)];
    const OwnershipClaim &claim = host.election().claim();
    const bool isLatest =
        host.isWatching() && claim.epoch > 0 && (!published || claim.epoch >= published->epoch);
    return isLatest ? &claim : published;
}

void CellSet::refreshClaims()
{
    m_directory.readNow();
}

std::vector<std::optional<CellLoad>> CellSet::publishedLoads(int cell,
                                                             const std::string &service) const
{
    const bool isEvacuating = m_evacuatedZones && !m_evacuatedZones->empty();
    std::vector<std::optional<CellLoad>> loads(m_hosts.size());
    for (int i = 0; i < static_cast<int>(m_hosts.size()); ++i) {
        const OwnershipClaim *claim = claimOf(i);
        const OwnershipClaim *published = m_directory.directory().findCell(i);
        if (isEvacuating && published && !published->rooms.contains(service)) {
            continue;
        }
        if (i != cell && claim && !claim->holder.empty() && published
            && m_layout->hasService(i, service)) {
            loads[static_cast<std::size_t>(i)] = published->load;
        }
    }
    return loads;
}

std::vector<std::optional<GuestOffer>> CellSet::guestOffers(int cell,
                                                            const std::string &service) const
{
    const std::vector<std::optional<CellLoad>> loads = publishedLoads(cell, service);
    std::vector<std::optional<GuestOffer>> offers(loads.size());
    for (int i = 0; i < static_cast<int>(loads.size()); ++i) {
        const auto &load = loads[static_cast<std::size_t>(i)];
        if (!load || !m_directory.directory().isFresh(i, Clock::now())) {
            continue;
        }
        const auto &rooms = m_directory.directory().findCell(i)->rooms;
        if (const auto it = rooms.find(service); it != rooms.end()) {
            offers[static_cast<std::size_t>(i)] = GuestOffer{*load, it->second};
        }
    }
    return offers;
}

void CellSet::answerDelegation(const DelegationRequest &request, const OnCallerReply &done)
{
    CellHost *receiver = find(request.cell);
    if (!receiver || !receiver->isServing()) {
        done({CallerOutcome::NotRun, JobState::Queued, 0, "not the owner"});
        return;
    }
    receiver->answerDelegation(request, done);
}

void CellSet::sendDelegation(const DelegationRequest &request, const OnCallerReply &done)
{
    CellHost *receiver = find(request.cell);
    if (receiver && receiver->isServing()) {
        receiver->answerDelegation(request, done);
        return;
    }
    const OwnershipClaim *claim = receiver ? claimOf(request.cell) : nullptr;
    if (!claim || claim->holder.empty() || receiver->election().isOwner() || !m_forwardDelegation) {
        done({CallerOutcome::NotRun, JobState::Queued, 0, "no owner"});
        return;
    }
    m_forwardDelegation(claim->endpoint, request, [this, done](const CallerReply &reply) {
        if (reply.outcome != CallerOutcome::Done) {
            refreshClaims();
        }
        done(reply);
    });
}

std::optional<int> CellSet::lessLoadedCell(int cell, const CellHost::NewJob &job,
                                           const CellLoad &own)
{
    std::vector<std::optional<CellLoad>> others = publishedLoads(cell, job.service);
    const ReferralPolicy::Job request{job.id, job.load};
    const CellLoad ownOrAbove = job.isStranded ? ReferralPolicy::loadAbove(others) : own;
    if (!job.isLongRunning) {
        return m_referrals.chooseForBatch(request, ownOrAbove, others, Clock::now());
    }
    // Its own load as old as the others' keeps the comparison fair while all loads grow.
    const OwnershipClaim *home = m_directory.directory().findCell(cell);
    others[static_cast<std::size_t>(cell)] = home && !job.isStranded ? home->load : ownOrAbove;
    return m_referrals.chooseForLongRunning(request, static_cast<std::size_t>(cell), job.isHeld,
                                            others, Clock::now());
}

int CellSet::pendingCount(const std::string &queue) const
{
    int total = 0;
    for (int i = 0; i < static_cast<int>(m_hosts.size()); ++i) {
        const OwnershipClaim *published = m_directory.directory().findCell(i);
        if (!published) {
            continue;
        }
        const auto found = published->pendingByQueue.find(queue);
        total += found == published->pendingByQueue.end() ? 0 : found->second;
    }
    return total;
}

void CellSet::setEvacuatedZones(const std::set<std::string> &zones)
{
    m_evacuatedZones = zones;
    for (const auto &it : m_hosts) {
        it->setEvacuatedZones(zones);
    }
}

void CellSet::resign()
{
    m_isResigning = true;
    m_directory.withdraw();
    std::ranges::for_each(m_hosts, [](const auto &it) { it->resign(); });
}

bool CellSet::hasResigned() const
{
    return std::ranges::all_of(m_hosts, [](const auto &it) { return it->hasResigned(); });
}

nlohmann::json CellSet::dump() const
{
    nlohmann::json cells = nlohmann::json::array();
    for (const auto &it : m_hosts) {
        cells.push_back(it->dump());
    }
    return cells;
}

} // namespace firefly
