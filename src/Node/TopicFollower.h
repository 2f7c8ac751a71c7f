#pragma once

#include "platform/StoreClient.h"

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace firefly {

/// Follows one keyed topic of the store: its newest records first, then each new one.
///
/// When the store has dropped records that were not read yet, it begins again with the newest.
class TopicFollower
{
public:
    struct Callbacks
    {
        std::function<void(const KeyedRecord &)> onRecord;
        /// All newest records were passed to onRecord; \a keys names them.
        std::function<void(const std::set<std::string> &keys)> onSnapshot;
        /// The topic was read up to \a end.
        std::function<void(std::uint64_t end)> onRead;
        std::function<void(const std::string &error)> onFailed;
    };

    /// \param wait how long one read may wait for a record.
    /// \param pause between reads that found records, so that several share one read.
    TopicFollower(asio::io_context &context, platform::StoreClient &store,
                  platform::Partition partition, Duration wait, Duration pause,
                  Callbacks callbacks);
    ~TopicFollower();
    TopicFollower(const TopicFollower &) = delete;
    TopicFollower &operator=(const TopicFollower &) = delete;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace firefly
