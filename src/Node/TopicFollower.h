#pragma once

#include "CellLease/StoreRetryPolicy.h"
#include "platform/StoreClient.h"

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace firefly {

/// Follows one keyed topic of the store: reads the newest record of each key, then new records.
///
/// When the store has trimmed records that were not read yet, it starts over with the newest ones.
class TopicFollower
{
public:
    struct Callbacks
    {
        std::function<void(const KeyedRecord &)> onRecord;
        /// The newest record of every key was passed to onRecord; \a keys are all keys.
        std::function<void(const std::set<std::string> &keys)> onSnapshot;
        /// All records before position \a end were passed to onRecord.
        std::function<void(std::uint64_t end)> onRead;
        std::function<void(const std::string &error)> onFailed; ///< May be empty.
    };

    struct Options
    {
        platform::Partition partition;
        StoreReadKind kind = StoreReadKind::Configuration;
        Duration wait{};  ///< Longest time that one read waits for a record.
        Duration pause{}; ///< Time between reads, so that one read returns several records.
    };

    /// \param retries decides when a failed read is tried again.
    TopicFollower(asio::io_context &context, platform::StoreClient &store,
                  StoreRetryPolicy &retries, Options options, Callbacks callbacks);
    ~TopicFollower();
    TopicFollower(const TopicFollower &) = delete;
    TopicFollower &operator=(const TopicFollower &) = delete;

    /// Changes the time between reads.
    void setPause(Duration pause);
    /// Ends a pause between reads.
    void readNow();
    /// Reads at once if the topic, which is known to have grown to \a end, was not read that far.
    /// The store may not wake a waiting read; the result of the one that waits is dropped.
    void catchUp(std::uint64_t end);

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace firefly
