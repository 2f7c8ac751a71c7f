#include "Node/JobPartition.h"

#include "Core/UnixTime.h"

#include <asio/basic_waitable_timer.hpp>
#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace firefly {
namespace {

/// Bounds of the time after which an unanswered append is retried; the store answers a retry like
/// the first attempt.
constexpr Duration MinAppendTimeout = std::chrono::milliseconds(400);
constexpr Duration MaxAppendTimeout = std::chrono::milliseconds(1600);
constexpr Duration AppendRetryPause = std::chrono::milliseconds(60);
/// Time from one append to the next; records put meanwhile share a call to the store.
constexpr Duration MinAppendInterval = std::chrono::milliseconds(30);
/// Once appends have failed for this long, new jobs are refused.
constexpr Duration MaxToleratedOutage = std::chrono::milliseconds(400);

} // namespace

struct JobPartition::Private : std::enable_shared_from_this<Private>
{
    Private(asio::io_context &context, platform::StoreClient &storeIn, CellScheduler &schedulerIn,
            EventLog &logIn, Metrics &metricsIn, int cellIn, Epoch epochIn, Callbacks callbacksIn,
            std::unique_ptr<JobRecordCopy> copyIn)
        : store(storeIn)
        , scheduler(schedulerIn)
        , log(logIn)
        , metrics(metricsIn)
        , cell(cellIn)
        , epoch(epochIn)
        , callbacks(std::move(callbacksIn))
        , copy(std::move(copyIn))
        , timer(context)
    {}

    /// Wraps \a callback so that it does nothing once this ownership has ended.
    template <typename F>
    auto guarded(F callback)
    {
        return [weak = weak_from_this(), callback = std::move(callback)](const auto &...args) {
            const auto self = weak.lock();
            if (self && !self->isClosed) {
                callback(*self, args...);
            }
        };
    }

    /// Lets the store refuse other epochs and recognise retries of an append.
    platform::AppendConditions writerGuard(std::uint64_t sequence) const
    {
        platform::AppendConditions guard;
        guard.writer = "cell-" + std::to_string(cell);
        guard.epoch = epoch;
        guard.sequence = sequence;
        return guard;
    }

    /// Fences writers with lower epochs off the partition, then loads it.
    void fencePartition()
    {
        store.append(platform::jobTopic(cell), writerGuard(0), {}, MaxAppendTimeout,
                     guarded([](Private &self, const platform::AppendResult &result) {
                         if (result.outcome == AppendOutcome::Stored) {
                             self.onPartitionFenced(result.end);
                             return;
                         }
                         self.reportAppendFailure(result);
                         self.retryLater(&Private::fencePartition);
                     }));
    }

    /// No earlier owner can append after \a end.
    void onPartitionFenced(std::uint64_t end)
    {
        fencedAt = Clock::now();
        const bool isEndKnown = end > 0;
        if (!copy || !isEndKnown) {
            loadJobs({});
            return;
        }
        copy->readTo(end,
                     guarded([](Private &self, bool isComplete) { self.onCopyRead(isComplete); }));
    }

    void onCopyRead(bool isComplete)
    {
        // This may run inside a callback of the copy, which is destroyed later.
        const std::shared_ptr<JobRecordCopy> ended = std::move(copy);
        asio::post(timer.get_executor(), [ended] {});
        if (!isComplete) {
            log.write(LogLevel::Warning, "cell", "load ahead unusable", {{"cell", cell}});
            loadJobs({});
            return;
        }
        const TimePoint readAt = Clock::now();
        for (const auto &[key, value] : ended->records()) {
            restore(key, value);
        }
        finishLoad(readAt, true);
    }

    void restore(const std::string &key, const std::string &value)
    {
        ++recordCount;
        try {
            scheduler.restore(key, value);
        } catch (const std::exception &e) {
            log.write(LogLevel::Error, "cell", "unreadable record",
                      {{"key", key}, {"error", e.what()}});
        }
    }

    /// Ends the load, whose last record was read at \a readAt.
    void finishLoad(TimePoint readAt, bool isAhead)
    {
        scheduler.finishRestore(Clock::now(), unixMs());
        const auto toMs = [](Duration it) {
            return std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
        };
        log.write(LogLevel::Info, "cell", "jobs loaded",
                  {{"cell", cell},
                   {"epoch", epoch},
                   {"records", recordCount},
                   {"ahead", isAhead},
                   {"fence_ms", toMs(fencedAt - begunAt)},
                   {"read_ms", toMs(readAt - fencedAt)},
                   {"restore_ms", toMs(Clock::now() - readAt)}});
        callbacks.onLoaded();
    }

    void loadJobs(const std::string &afterKey)
    {
        store.newest(platform::jobTopic(cell), afterKey,
                     guarded([afterKey](Private &self, const platform::NewestPage &page) {
                         self.onJobsPage(afterKey, page);
                     }));
    }

    void onJobsPage(const std::string &afterKey, const platform::NewestPage &page)
    {
        if (!page.isOk) {
            log.write(LogLevel::Warning, "cell", "can't load jobs", {{"error", page.error}});
            timer.expires_after(AppendRetryPause);
            timer.async_wait(
                guarded([afterKey](Private &self, asio::error_code) { self.loadJobs(afterKey); }));
            return;
        }
        const TimePoint readAt = Clock::now();
        for (const KeyedRecord &it : page.records) {
            restore(it.key, it.value.value_or(std::string()));
        }
        if (page.hasMore && !page.records.empty()) {
            loadJobs(page.records.back().key);
            return;
        }
        finishLoad(readAt, false);
    }

    void retryLater(void (Private::*next)())
    {
        timer.expires_after(AppendRetryPause);
        timer.async_wait(guarded([next](Private &self, asio::error_code ec) {
            if (!ec) {
                (self.*next)();
            }
        }));
    }

    void append()
    {
        if (isAppending) {
            return;
        }
        const Duration sinceLast = Clock::now() - lastAppendAt;
        if (sinceLast < MinAppendInterval) {
            awaitNextAppend(MinAppendInterval - sinceLast);
            return;
        }
        const auto batch = scheduler.journal().next();
        if (!batch) {
            return;
        }
        isAppending = true;
        lastAppendAt = Clock::now();
        metrics.add("firefly_store_appends_total{topic=\"jobs\"}");
        metrics.add("firefly_store_records_total", batch->records.size());
        store.append(
            platform::jobTopic(cell), writerGuard(batch->sequence), batch->records, appendTimeout,
            guarded([sentAt = Clock::now()](Private &self, const platform::AppendResult &result) {
                self.onAppendResult(result, sentAt);
            }));
    }

    void awaitNextAppend(Duration delay)
    {
        if (scheduler.journal().isIdle() || std::exchange(isAwaitingNextAppend, true)) {
            return;
        }
        timer.expires_after(delay);
        timer.async_wait(guarded([](Private &self, asio::error_code ec) {
            self.isAwaitingNextAppend = false;
            if (!ec) {
                self.append();
            }
        }));
    }

    void onAppendResult(const platform::AppendResult &result, TimePoint sentAt)
    {
        scheduler.journal().onOutcome(result.outcome);
        if (result.outcome == AppendOutcome::Stored) {
            isAppending = false;
            appendTimeout = std::clamp<Duration>(4 * (Clock::now() - sentAt), MinAppendTimeout,
                                                 MaxAppendTimeout);
            failingSince.reset();
            callbacks.onReadyToAppend();
            return;
        }
        reportAppendFailure(result);
        if (result.outcome == AppendOutcome::Unknown) {
            appendTimeout = std::min(MaxAppendTimeout, 2 * appendTimeout);
        }
        if (result.outcome == AppendOutcome::Fenced) {
            log.write(LogLevel::Warning, "cell", "store refuses this epoch", {{"epoch", epoch}});
            callbacks.onFenced();
            return;
        }
        if (!failingSince) {
            failingSince = Clock::now();
        }
        if (isFailing()) {
            scheduler.journal().refusePending();
        }
        timer.expires_after(AppendRetryPause);
        timer.async_wait(guarded([](Private &self, asio::error_code ec) {
            if (!ec) {
                self.isAppending = false;
                self.callbacks.onReadyToAppend();
            }
        }));
    }

    bool isFailing() const
    {
        return failingSince && Clock::now() - *failingSince >= MaxToleratedOutage;
    }

    void reportAppendFailure(const platform::AppendResult &result)
    {
        metrics.add("firefly_store_append_failures_total");
        log.write(
            LogLevel::Warning, "cell", "append failed",
            {{"error", result.error}, {"maybe_stored", result.outcome == AppendOutcome::Unknown}});
    }

    platform::StoreClient &store;
    CellScheduler &scheduler;
    EventLog &log;
    Metrics &metrics;
    int cell;
    Epoch epoch;
    Callbacks callbacks;
    std::unique_ptr<JobRecordCopy> copy; ///< Set until the partition is loaded, if there is one.
    asio::basic_waitable_timer<Clock> timer;
    TimePoint begunAt = Clock::now();
    TimePoint fencedAt{};
    std::size_t recordCount = 0; ///< Records that were restored.
    bool isClosed = false;
    bool isAppending = false;
    bool isAwaitingNextAppend = false; ///< While no append is in flight.
    TimePoint lastAppendAt{};
    Duration appendTimeout = MinAppendTimeout;
    std::optional<TimePoint> failingSince; ///< First failure since the last stored append.
};

JobPartition::JobPartition(asio::io_context &context, platform::StoreClient &store,
                           CellScheduler &scheduler, EventLog &log, Metrics &metrics, int cell,
                           Epoch epoch, Callbacks callbacks, std::unique_ptr<JobRecordCopy> copy)
    : m_private(std::make_shared<Private>(context, store, scheduler, log, metrics, cell, epoch,
                                          std::move(callbacks), std::move(copy)))
{
    m_private->fencePartition();
}

JobPartition::~JobPartition() = default;

void JobPartition::close()
{
    m_private->isClosed = true;
}

void JobPartition::append()
{
    m_private->append();
}

bool JobPartition::isFailing() const
{
    return m_private->isFailing();
}

} // namespace firefly
