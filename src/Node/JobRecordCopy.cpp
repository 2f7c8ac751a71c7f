#include "Node/JobRecordCopy.h"

#include "Core/Clock.h"

#include <chrono>
#include <set>
#include <utility>

namespace firefly {
namespace {

/// The owner appends up to 30 times a second; reading several batches at once saves calls.
constexpr Duration ReadPause = std::chrono::milliseconds(100);
constexpr Duration ReadWait = std::chrono::milliseconds(1000);

} // namespace

JobRecordCopy::JobRecordCopy(asio::io_context &context, platform::StoreClient &store,
                             StoreRetryPolicy &retries, int cell, std::function<void()> onLoaded)
    : m_onLoaded(std::move(onLoaded))
    , m_follower(context, store, retries,
                 {platform::jobTopic(cell), StoreReadKind::Ownership, ReadWait, ReadPause},
                 makeCallbacks())
{}

TopicFollower::Callbacks JobRecordCopy::makeCallbacks()
{
    TopicFollower::Callbacks callbacks;
    callbacks.onRecord = [this](const KeyedRecord &it) {
        if (it.value) {
            m_records[it.key] = *it.value;
        } else {
            m_records.erase(it.key);
        }
    };
    callbacks.onSnapshot = [this](const std::set<std::string> &keys) {
        // After trimmed records, some keys may have been removed unseen.
        std::erase_if(m_records, [&keys](const auto &it) { return !keys.contains(it.first); });
    };
    callbacks.onRead = [this](std::uint64_t end) { onRead(end); };
    callbacks.onFailed = [this](const std::string &) {
        m_hasFailed = true;
        finish();
    };
    return callbacks;
}

void JobRecordCopy::onRead(std::uint64_t end)
{
    m_position = end;
    m_hasFailed = false;
    if (!m_loadedAt) {
        m_loadedAt = Clock::now();
        if (m_onLoaded) {
            m_onLoaded();
        }
    }
    finish();
}

void JobRecordCopy::readTo(std::uint64_t end, std::function<void(bool)> done)
{
    m_end = end;
    m_done = std::move(done);
    m_follower.setPause(Duration{});
    m_follower.catchUp(end);
    finish();
}

void JobRecordCopy::finish()
{
    const bool isComplete = m_loadedAt && m_position == m_end && !m_hasFailed;
    const bool isUseless = m_hasFailed || m_position > m_end;
    if (m_done && (isComplete || isUseless)) {
        // The callee may destroy this object.
        std::exchange(m_done, nullptr)(isComplete);
    }
}

} // namespace firefly
