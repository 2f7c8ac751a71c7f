#pragma once

#include "CellLease/CellElection.h"
#include "CellLease/StoreRetryPolicy.h"
#include "Node/JobRecordCopy.h"
#include "Ops/EventLog.h"
#include "platform/StoreClient.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

namespace firefly {

/// Loads the job records of one cell while its owner leaves or may be lost, so that this process
/// can serve the cell as soon as it has claimed it.
///
/// Reads nothing while an owner renews its claim.  Errors of the store are those of JobRecordCopy.
class LoadAhead
{
public:
    /// Candidates that load at a time; the second one in case the first is lost.
    static constexpr int MaxCandidates = 2;
    /// Time without a renewal after which the owner may be lost: a renewal is missing, and the
    /// records can be loaded before others may claim.
    static constexpr Duration OverdueTime = std::chrono::milliseconds(1300);

    /// \param onReady is called when this process could serve the cell at once.
    LoadAhead(asio::io_context &context, platform::StoreClient &store, StoreRetryPolicy &retries,
              EventLog &log, int cell, std::function<void()> onReady);

    /// Begins or drops a load as the claims in \a election require; \a claimRank is the number of
    /// better candidates.
    void update(const CellElection &election, int claimRank, TimePoint now);
    /// When the load was complete; unset while there is none.
    std::optional<TimePoint> readySince() const;
    /// The records for this process as new owner, maybe not complete; null if no load was begun.
    std::unique_ptr<JobRecordCopy> take();

private:
    void begin(const CellElection &election, TimePoint now);
    void onLoaded();

    asio::io_context &m_context;
    platform::StoreClient &m_store;
    StoreRetryPolicy &m_retries;
    EventLog &m_log;
    int m_cell;
    std::function<void()> m_onReady;
    std::unique_ptr<JobRecordCopy> m_copy; ///< Set while loading or loaded.
    TimePoint m_begunAt{};
};

} // namespace firefly
