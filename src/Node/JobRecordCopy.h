#pragma once

#include "CellLease/StoreRetryPolicy.h"
#include "Node/TopicFollower.h"
#include "platform/StoreClient.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace firefly {

/// Copy of the job records of one cell that is kept up to date, so that a process which becomes the
/// owner reads only what was appended since.
///
/// Reads the newest record of every key, then follows the topic.  Holds all keys and values in
/// memory.  Failed reads are repeated; once the store has trimmed records that were not read, all
/// are read again.
class JobRecordCopy
{
public:
    /// \param onLoaded is called when all records have been read once.
    JobRecordCopy(asio::io_context &context, platform::StoreClient &store,
                  StoreRetryPolicy &retries, int cell, std::function<void()> onLoaded);
    JobRecordCopy(const JobRecordCopy &) = delete;
    JobRecordCopy &operator=(const JobRecordCopy &) = delete;

    /// Drops onLoaded, if it was not called yet.
    void detach() { m_onLoaded = nullptr; }
    /// When all records had been read once; unset before.
    std::optional<TimePoint> loadedAt() const { return m_loadedAt; }

    /// Reads up to position \a end, at which the topic ends for good, and calls \a done once, maybe
    /// at once.  The argument is true if records() are exactly those before \a end; false after a
    /// failed read or if records from \a end on were read, and the copy is useless then.
    /// \pre called once
    void readTo(std::uint64_t end, std::function<void(bool isComplete)> done);
    /// Value of each key.
    const std::map<std::string, std::string> &records() const { return m_records; }

private:
    TopicFollower::Callbacks makeCallbacks();
    void onRead(std::uint64_t end);
    /// Ends readTo(), if it can.
    void finish();

    std::function<void()> m_onLoaded;
    std::map<std::string, std::string> m_records;
    std::optional<TimePoint> m_loadedAt;
    std::uint64_t m_position = 0; ///< All records before it were read.
    bool m_hasFailed = false;     ///< The latest read.
    std::uint64_t m_end = 0;      ///< Argument of readTo().
    std::function<void(bool)> m_done;
    TopicFollower m_follower;
};

} // namespace firefly
