#include "Node/DirectoryClient.h"

#include "CellLease/ClaimRecord.h"
#include "CellLease/DirectoryRecord.h"
#include "Core/UnixTime.h"
#include "Node/TopicFollower.h"

#include <asio/basic_waitable_timer.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace firefly {
namespace {

constexpr Duration ReadWait = std::chrono::milliseconds(1000);
/// Time between reads.  A front that meets an outdated entry reads at once.
constexpr Duration FrontPause = std::chrono::milliseconds(700);
constexpr Duration OwnerPause = std::chrono::milliseconds(200);
constexpr Duration FastPause = std::chrono::milliseconds(40);
/// Duration of fast reading.
constexpr Duration FastReadTime = std::chrono::milliseconds(1000);
constexpr Duration AppendTimeout = std::chrono::milliseconds(1600);

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

struct DirectoryClient::Private : std::enable_shared_from_this<Private>
{
    Private(asio::io_context &contextIn, const NodeSettings &settingsIn,
            platform::StoreClient &storeIn, StoreRetryPolicy &retriesIn, EventLog &logIn,
            Metrics &metricsIn)
        : context(contextIn)
        , settings(settingsIn)
        , store(storeIn)
        , retries(retriesIn)
        , log(logIn)
        , metrics(metricsIn)
        , announceTimer(contextIn)
        , retryTimer(contextIn)
    {}

    void begin()
    {
        TopicFollower::Callbacks callbacks;
        callbacks.onRecord = [this](const KeyedRecord &it) { onRecord(it); };
        callbacks.onSnapshot = [](const std::set<std::string> &) {};
        callbacks.onRead = [this](std::uint64_t) {
            lastReadAt = Clock::now();
            directory.onRead();
            updateFleetSize();
            updatePause();
        };
        // The followers of the claims log that the store is lost or regained.
        callbacks.onFailed = [this](const std::string &) {
            metrics.add("firefly_store_read_failures_total{topic=\"directory\"}");
        };
        const TopicFollower::Options options{platform::directoryTopic(), StoreReadKind::Directory,
                                             ReadWait, FrontPause};
        follower =
            std::make_unique<TopicFollower>(context, store, retries, options, std::move(callbacks));
        directory.setSelf(settings.node, announcement);
        announce();
    }

    void onRecord(const KeyedRecord &record)
    {
        const TimePoint now = Clock::now();
        const auto node = vmOfRecord(record.key);
        if (!record.value) {
            if (node) {
                directory.onVmGone(*node);
            }
            return;
        }
        try {
            if (node) {
                directory.onVm(*node, decodeAnnouncement(*record.value), now);
            } else if (const auto cell = cellOfRecord(record.key)) {
                directory.onCell(*cell, decodeClaim(*record.value), now);
            }
        } catch (const ClaimRecordError &e) {
            log.write(LogLevel::Error, "node", "unreadable directory record",
                      {{"key", record.key}, {"error", e.what()}});
        }
    }

    void updateFleetSize()
    {
        const Duration before = retries.longestDelay(StoreReadKind::Layout);
        // A fleet that starts at once is known when each VM has announced itself.
        const bool isComplete = Clock::now() - startedAt >= FleetDirectory::VmInterval;
        retries.setFleetSize(directory.vmCount(), isComplete);
        const Duration after = retries.longestDelay(StoreReadKind::Layout);
        if (after != before) {
            log.write(LogLevel::Info, "node", "store retries changed",
                      {{"vms", retries.fleetSize()},
                       {"config_ms", toMs(retries.longestDelay(StoreReadKind::Configuration))},
                       {"layout_ms", toMs(after)},
                       {"failed_reads", retries.failedReads()}});
        }
    }

    void updatePause()
    {
        const Duration usual = isOwner ? OwnerPause : FrontPause;
        const bool isFast = Clock::now() < fastUntil;
        follower->setPause(retries.pauseBetweenReads(isFast ? FastPause : usual));
    }

    /// Ends the pause between two reads, unless this would exceed the share of this process.
    void readNow()
    {
        if (Clock::now() - lastReadAt >= retries.pauseBetweenReads(Duration{})) {
            follower->readNow();
        }
    }

    void announce()
    {
        put(vmRecordKey(settings.node), encodeAnnouncement(announcement));
        announceTimer.expires_after(FleetDirectory::VmInterval);
        announceTimer.async_wait([weak = weak_from_this()](asio::error_code ec) {
            const auto self = weak.lock();
            if (!ec && self) {
                self->announce();
            }
        });
    }

    /// Appends the record, with others that wait for the append in flight.
    void put(std::string key, std::optional<std::string> value)
    {
        waiting[std::move(key)] = std::move(value);
        append();
    }

    void append()
    {
        if (isAppending || waiting.empty()) {
            return;
        }
        isAppending = true;
        std::vector<KeyedRecord> records;
        for (auto &[key, value] : std::exchange(waiting, {})) {
            records.push_back({key, std::move(value)});
        }
        metrics.add("firefly_store_appends_total{topic=\"directory\"}");
        store.append(platform::directoryTopic(), {}, records, AppendTimeout,
                     [weak = weak_from_this(), records](const platform::AppendResult &result) {
                         if (const auto self = weak.lock()) {
                             self->onAppended(records, result);
                         }
                     });
    }

    void onAppended(const std::vector<KeyedRecord> &records, const platform::AppendResult &result)
    {
        if (result.outcome == AppendOutcome::Stored) {
            isAppending = false;
            appendFailures = 0;
            append();
            return;
        }
        metrics.add("firefly_store_append_failures_total");
        ++appendFailures;
        // Newer values of the same keys replace those that weren't stored.
        for (const KeyedRecord &it : records) {
            waiting.try_emplace(it.key, it.value);
        }
        retryTimer.expires_after(retries.delayAfter(StoreReadKind::Directory, appendFailures));
        retryTimer.async_wait([weak = weak_from_this()](asio::error_code ec) {
            const auto self = weak.lock();
            if (!ec && self) {
                self->isAppending = false;
                self->append();
            }
        });
    }

    asio::io_context &context;
    const NodeSettings &settings;
    platform::StoreClient &store;
    StoreRetryPolicy &retries;
    EventLog &log;
    Metrics &metrics;
    FleetDirectory directory;
    std::unique_ptr<TopicFollower> follower;
    asio::basic_waitable_timer<Clock> announceTimer;
    asio::basic_waitable_timer<Clock> retryTimer;
    /// Records for the next append, by key; without a value to remove the key.
    std::map<std::string, std::optional<std::string>> waiting;
    bool isAppending = false;
    int appendFailures = 0; ///< In a row.
    bool isOwner = false;
    TimePoint fastUntil{};
    TimePoint startedAt = Clock::now();
    VmAnnouncement announcement{settings.capacity, unixMs()}; ///< Of this VM.
    TimePoint lastReadAt{};
};

DirectoryClient::DirectoryClient(asio::io_context &context, const NodeSettings &settings,
                                 platform::StoreClient &store, StoreRetryPolicy &retries,
                                 EventLog &log, Metrics &metrics)
    : m_private(std::make_shared<Private>(context, settings, store, retries, log, metrics))
{
    m_private->begin();
}

DirectoryClient::~DirectoryClient() = default;

const FleetDirectory &DirectoryClient::directory() const
{
    return m_private->directory;
}

void DirectoryClient::publish(int cell, const OwnershipClaim &claim)
{
    m_private->put(cellRecordKey(cell), encodeClaim(claim));
}

void DirectoryClient::withdraw()
{
    m_private->announceTimer.cancel();
    m_private->put(vmRecordKey(m_private->settings.node), std::nullopt);
}

void DirectoryClient::setOwner(bool isOwner)
{
    m_private->isOwner = isOwner;
    m_private->updatePause();
}

void DirectoryClient::readNow()
{
    m_private->readNow();
}

void DirectoryClient::readOften()
{
    m_private->fastUntil = Clock::now() + FastReadTime;
    m_private->updatePause();
    m_private->readNow();
}

} // namespace firefly
