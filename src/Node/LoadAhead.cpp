#include "Node/LoadAhead.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace firefly {
namespace {

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

LoadAhead::LoadAhead(asio::io_context &context, platform::StoreClient &store,
                     StoreRetryPolicy &retries, EventLog &log, int cell,
                     std::function<void()> onReady)
    : m_context(context)
    , m_store(store)
    , m_retries(retries)
    , m_log(log)
    , m_cell(cell)
    , m_onReady(std::move(onReady))
{}

void LoadAhead::update(const CellElection &election, int claimRank, TimePoint now)
{
    const bool mayClaim = election.isConnected() && !election.isResigning() && !election.isOwner();
    const bool isOwnerEnding = !election.hasOwner() || election.claim().isLeaving
                               || now - election.silentSince() >= OverdueTime;
    if (m_copy && (!mayClaim || !isOwnerEnding)) {
        m_log.write(LogLevel::Info, "cell", "load ahead dropped",
                    {{"cell", m_cell},
                     {"epoch", election.epoch()},
                     {"owner", election.claim().node},
                     {"age_ms", toMs(now - m_begunAt)}});
        m_copy.reset();
    }
    // A cell without an owner is claimed at once.
    if (!m_copy && mayClaim && isOwnerEnding && election.hasOwner() && claimRank < MaxCandidates) {
        begin(election, now);
    }
}

void LoadAhead::begin(const CellElection &election, TimePoint now)
{
    m_begunAt = now;
    m_log.write(LogLevel::Info, "cell", "load ahead begun",
                {{"cell", m_cell},
                 {"epoch", election.epoch()},
                 {"owner", election.claim().node},
                 {"leaving", election.claim().isLeaving},
                 {"silent_ms", toMs(now - election.silentSince())}});
    m_copy = std::make_unique<JobRecordCopy>(m_context, m_store, m_retries, m_cell,
                                             [this] { onLoaded(); });
}

void LoadAhead::onLoaded()
{
    m_log.write(LogLevel::Info, "cell", "load ahead ready",
                {{"cell", m_cell},
                 {"records", m_copy->records().size()},
                 {"load_ms", toMs(Clock::now() - m_begunAt)}});
    m_onReady();
}

std::unique_ptr<JobRecordCopy> LoadAhead::take()
{
    if (m_copy) {
        m_copy->detach();
    }
    return std::move(m_copy);
}

std::optional<TimePoint> LoadAhead::readySince() const
{
    return m_copy ? m_copy->loadedAt() : std::nullopt;
}

} // namespace firefly
