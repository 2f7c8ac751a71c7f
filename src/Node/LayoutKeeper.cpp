#include "Node/LayoutKeeper.h"

#include "Node/TopicFollower.h"
#include "platform/Wire.h"

#include <asio/basic_waitable_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace firefly {
namespace {

constexpr Duration LayoutReadWait = std::chrono::milliseconds(1000);
constexpr Duration WorkerReadWait = std::chrono::milliseconds(300);
constexpr Duration CheckInterval = std::chrono::milliseconds(100);
/// Workers register with each heartbeat, every 1.5 s; after a longer pause none is missing.
constexpr Duration Settling = std::chrono::milliseconds(1700);
/// A fleet that finds no settled list of workers for this long begins with what it knows.
constexpr Duration LongestWait = std::chrono::milliseconds(7000);
constexpr Duration AppendTimeout = std::chrono::milliseconds(1600);
constexpr Duration RetryPause = std::chrono::milliseconds(500);

} // namespace

struct LayoutKeeper::Private : std::enable_shared_from_this<Private>
{
    Private(asio::io_context &contextIn, platform::StoreClient &storeIn,
            const NodeSettings &settingsIn, EventLog &logIn, OnLayout onLayoutIn)
        : context(contextIn)
        , store(storeIn)
        , settings(settingsIn)
        , log(logIn)
        , onLayout(std::move(onLayoutIn))
        , timer(contextIn)
    {}

    void begin()
    {
        TopicFollower::Callbacks callbacks;
        callbacks.onRecord = [this](const KeyedRecord &it) { take(it); };
        callbacks.onSnapshot = [](const std::set<std::string> &) {};
        callbacks.onRead = [this](std::uint64_t end) { noteRead(end); };
        callbacks.onFailed = [](const std::string &) {};
        layouts = std::make_unique<TopicFollower>(context, store, platform::layoutTopic(),
                                                  LayoutReadWait, Duration{}, std::move(callbacks));
        schedule();
    }

    void take(const KeyedRecord &record)
    {
        if (record.key != RecordKey || !record.value || isKnown) {
            return;
        }
        try {
            const CellLayout layout = CellLayout::decode(*record.value);
            isKnown = true;
            log.write(LogLevel::Info, "node", "layout known", {{"cells", layout.cellCount()}});
            onLayout(layout);
        } catch (const CellLayoutError &e) {
            log.write(LogLevel::Error, "node", "unreadable layout", {{"error", e.what()}});
        }
    }

    /// Without a layout, the workers are needed to make one.
    void noteRead(std::uint64_t end)
    {
        position = end;
        if (isKnown || workers) {
            return;
        }
        changedAt = beganAt = Clock::now();
        TopicFollower::Callbacks callbacks;
        callbacks.onRecord = [this](const KeyedRecord &it) { takeWorker(it); };
        callbacks.onSnapshot = [](const std::set<std::string> &) {};
        callbacks.onRead = [](std::uint64_t) {};
        callbacks.onFailed = [](const std::string &) {};
        workers =
            std::make_unique<TopicFollower>(context, store, platform::workerTopic(), WorkerReadWait,
                                            CheckInterval, std::move(callbacks));
    }

    void takeWorker(const KeyedRecord &record)
    {
        if (!record.value) {
            changedAt = known.erase(record.key) > 0 ? Clock::now() : changedAt;
            return;
        }
        try {
            WorkerDescription worker = platform::decodeWorker(record.key, *record.value);
            const bool isNew = known.insert_or_assign(record.key, std::move(worker)).second;
            changedAt = isNew ? Clock::now() : changedAt;
        } catch (const platform::WireError &e) {
            log.write(LogLevel::Warning, "node", "unreadable worker entry", {{"error", e.what()}});
        }
    }

    void schedule()
    {
        timer.expires_after(CheckInterval);
        timer.async_wait([weak = weak_from_this()](asio::error_code ec) {
            const auto self = weak.lock();
            if (!ec && self) {
                self->check();
            }
        });
    }

    void check()
    {
        if (isKnown) {
            // Followers may not be destroyed from their own callbacks.
            layouts.reset();
            workers.reset();
            known.clear();
            return;
        }
        const TimePoint now = Clock::now();
        const bool isSettled = !known.empty() && now - changedAt >= Settling;
        const bool isDue = workers && (isSettled || now - beganAt >= LongestWait);
        if (isDue && position && now >= retryAt) {
            propose(now);
        }
        schedule();
    }

    void propose(TimePoint now)
    {
        std::vector<WorkerDescription> list;
        for (const auto &[id, worker] : known) {
            list.push_back(worker);
        }
        const CellLayout layout = CellLayout::plan(list, settings.storePartitions);
        log.write(LogLevel::Info, "node", "proposing layout",
                  {{"cells", layout.cellCount()}, {"workers", list.size()}});
        const KeyedRecord record{RecordKey, layout.encode()};
        platform::AppendGuard guard;
        guard.position = *position;
        retryAt = now + AppendTimeout + RetryPause;
        store.append(platform::layoutTopic(), guard, {&record, 1}, AppendTimeout,
                     [weak = weak_from_this()](const platform::AppendResult &result) {
                         const auto self = weak.lock();
                         if (self && result.outcome != AppendOutcome::Stored) {
                             self->retryAt = Clock::now() + RetryPause;
                             self->log.write(LogLevel::Info, "node", "layout not stored",
                                             {{"error", result.error}});
                         }
                     });
    }

    asio::io_context &context;
    platform::StoreClient &store;
    const NodeSettings &settings;
    EventLog &log;
    OnLayout onLayout;
    asio::basic_waitable_timer<Clock> timer;
    std::unique_ptr<TopicFollower> layouts;
    std::unique_ptr<TopicFollower> workers;
    std::map<std::string, WorkerDescription> known;
    std::optional<std::uint64_t> position; ///< Where the layout's topic ends.
    TimePoint beganAt{};
    TimePoint changedAt{};
    TimePoint retryAt{};
    bool isKnown = false;
};

LayoutKeeper::LayoutKeeper(asio::io_context &context, platform::StoreClient &store,
                           const NodeSettings &settings, EventLog &log, OnLayout onLayout)
    : m_private(std::make_shared<Private>(context, store, settings, log, std::move(onLayout)))
{
    m_private->begin();
}

LayoutKeeper::~LayoutKeeper() = default;

} // namespace firefly
