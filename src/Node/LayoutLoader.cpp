#include "Node/LayoutLoader.h"

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
/// Workers register with each heartbeat, every 1.5 s; after a longer time without changes, all
/// workers have registered.
constexpr Duration RegistrationQuietPeriod = std::chrono::milliseconds(1700);
/// Longest wait for the list of workers to become stable; then the layout is made of those known.
constexpr Duration MaxRegistrationWait = std::chrono::milliseconds(7000);
constexpr Duration AppendTimeout = std::chrono::milliseconds(1600);
constexpr Duration RetryPause = std::chrono::milliseconds(500);

} // namespace

struct LayoutLoader::Private : std::enable_shared_from_this<Private>
{
    Private(asio::io_context &contextIn, platform::StoreClient &storeIn,
            StoreRetryPolicy &retriesIn, const NodeSettings &settingsIn, EventLog &logIn,
            const FleetDirectory &directoryIn, OnLayout onLayoutIn)
        : context(contextIn)
        , store(storeIn)
        , retries(retriesIn)
        , settings(settingsIn)
        , log(logIn)
        , directory(directoryIn)
        , onLayout(std::move(onLayoutIn))
        , timer(contextIn)
    {}

    void begin()
    {
        TopicFollower::Callbacks callbacks;
        callbacks.onRecord = [this](const KeyedRecord &it) { onLayoutRecord(it); };
        callbacks.onSnapshot = [](const std::set<std::string> &) {};
        callbacks.onRead = [this](std::uint64_t end) { onLayoutTopicRead(end); };
        callbacks.onFailed = [](const std::string &) {};
        const TopicFollower::Options options{platform::layoutTopic(), StoreReadKind::Layout,
                                             LayoutReadWait, Duration{}};
        layoutFollower =
            std::make_unique<TopicFollower>(context, store, retries, options, std::move(callbacks));
        scheduleCheck();
    }

    void onLayoutRecord(const KeyedRecord &record)
    {
        if (record.key != RecordKey || !record.value || hasLayout) {
            return;
        }
        try {
            const CellLayout layout = CellLayout::decode(*record.value);
            hasLayout = true;
            log.write(LogLevel::Info, "node", "layout known", {{"cells", layout.cellCount()}});
            onLayout(layout);
        } catch (const CellLayoutError &e) {
            log.write(LogLevel::Error, "node", "unreadable layout", {{"error", e.what()}});
        }
    }

    void onLayoutTopicRead(std::uint64_t end)
    {
        topicEnd = end;
        followWorkers();
    }

    /// True if this VM is among those that make a layout when there is none.
    bool isProposer() const
    {
        // Any cell will do: before there is a layout, none has an owner.
        return directory.isCandidate(settings.node, 0, 0, Clock::now());
    }

    /// Starts to follow the workers if there is no layout, to make one for them.
    void followWorkers()
    {
        if (hasLayout || workerFollower || !topicEnd || !isProposer()) {
            return;
        }
        lastChangeAt = followingSince = Clock::now();
        lastWorkerReadAt.reset();
        TopicFollower::Callbacks callbacks;
        callbacks.onRecord = [this](const KeyedRecord &it) { onWorkerRecord(it); };
        callbacks.onSnapshot = [](const std::set<std::string> &) {};
        callbacks.onRead = [this](std::uint64_t) { lastWorkerReadAt = Clock::now(); };
        callbacks.onFailed = [](const std::string &) {};
        const TopicFollower::Options options{platform::workerTopic(), StoreReadKind::Workers,
                                             WorkerReadWait, CheckInterval};
        workerFollower =
            std::make_unique<TopicFollower>(context, store, retries, options, std::move(callbacks));
    }

    void onWorkerRecord(const KeyedRecord &record)
    {
        if (!record.value) {
            lastChangeAt = registeredWorkers.erase(record.key) > 0 ? Clock::now() : lastChangeAt;
            return;
        }
        try {
            WorkerDescription worker = platform::decodeWorker(record.key, *record.value);
            const bool isNew =
                registeredWorkers.insert_or_assign(record.key, std::move(worker)).second;
            lastChangeAt = isNew ? Clock::now() : lastChangeAt;
        } catch (const platform::WireError &e) {
            log.write(LogLevel::Warning, "node", "unreadable worker entry", {{"error", e.what()}});
        }
    }

    void scheduleCheck()
    {
        timer.expires_after(CheckInterval);
        timer.async_wait([weak = weak_from_this()](asio::error_code ec) {
            const auto self = weak.lock();
            if (!ec && self) {
                self->checkRegistrations();
            }
        });
    }

    void checkRegistrations()
    {
        if (hasLayout) {
            // Destroyed here, since a follower must not be destroyed from its own callback.
            layoutFollower.reset();
            workerFollower.reset();
            registeredWorkers.clear();
            return;
        }
        if (isProposer()) {
            followWorkers();
        } else {
            workerFollower.reset();
            registeredWorkers.clear();
        }
        const TimePoint now = Clock::now();
        // While reads are refused, nothing is known of the registrations.
        const bool isStable = !registeredWorkers.empty() && lastWorkerReadAt
                              && *lastWorkerReadAt - lastChangeAt >= RegistrationQuietPeriod;
        const bool isDue = workerFollower && lastWorkerReadAt
                           && (isStable || now - followingSince >= MaxRegistrationWait);
        if (isDue && topicEnd && now >= retryAt) {
            proposeLayout(now);
        }
        scheduleCheck();
    }

    void proposeLayout(TimePoint now)
    {
        std::vector<WorkerDescription> list;
        for (const auto &[id, worker] : registeredWorkers) {
            list.push_back(worker);
        }
        const std::vector<VmCapacity> vms = directory.capacities();
        const CellLayout layout = CellLayout::plan(list, settings.storePartitions, vms);
        log.write(LogLevel::Info, "node", "proposing layout",
                  {{"cells", layout.cellCount()}, {"workers", list.size()}, {"vms", vms.size()}});
        const KeyedRecord record{RecordKey, layout.encode()};
        platform::AppendConditions guard;
        guard.position = *topicEnd;
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
    StoreRetryPolicy &retries;
    const NodeSettings &settings;
    EventLog &log;
    const FleetDirectory &directory;
    OnLayout onLayout;
    asio::basic_waitable_timer<Clock> timer;
    std::unique_ptr<TopicFollower> layoutFollower;
    std::unique_ptr<TopicFollower> workerFollower;
    std::map<std::string, WorkerDescription> registeredWorkers; ///< By id.
    std::optional<std::uint64_t> topicEnd; ///< Position up to which the layout topic was read.
    TimePoint followingSince{};
    TimePoint lastChangeAt{};
    std::optional<TimePoint> lastWorkerReadAt; ///< Latest complete read of the list of workers.
    TimePoint retryAt{};
    bool hasLayout = false;
};

LayoutLoader::LayoutLoader(asio::io_context &context, platform::StoreClient &store,
                           StoreRetryPolicy &retries, const NodeSettings &settings, EventLog &log,
                           const FleetDirectory &directory, OnLayout onLayout)
    : m_private(std::make_shared<Private>(context, store, retries, settings, log, directory,
                                          std::move(onLayout)))
{
    m_private->begin();
}

LayoutLoader::~LayoutLoader() = default;

} // namespace firefly
