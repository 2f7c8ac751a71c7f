#include "Node/TopicFollower.h"

#include <utility>

namespace firefly {
namespace {

constexpr Duration RetryPause = std::chrono::milliseconds(200);

} // namespace

struct TopicFollower::Private : std::enable_shared_from_this<Private>
{
    Private(asio::io_context &context, platform::StoreClient &storeIn,
            platform::Partition partitionIn, Duration waitIn, Duration pauseIn,
            Callbacks callbacksIn)
        : store(storeIn)
        , partition(std::move(partitionIn))
        , wait(waitIn)
        , pause(pauseIn)
        , callbacks(std::move(callbacksIn))
        , timer(context)
    {}

    void scheduleAfter(Duration delay, void (Private::*step)())
    {
        timer.expires_after(delay);
        timer.async_wait([weak = weak_from_this(), step](asio::error_code ec) {
            const auto self = weak.lock();
            if (!ec && self && !self->isStopped) {
                (self.get()->*step)();
            }
        });
    }

    void begin()
    {
        keys.clear();
        afterKey.clear();
        position = 0;
        isFirstPage = true;
        loadPage();
    }

    void loadPage()
    {
        store.newest(partition, afterKey,
                     [weak = weak_from_this()](const platform::NewestPage &page) {
                         const auto self = weak.lock();
                         if (self && !self->isStopped) {
                             self->onPage(page);
                         }
                     });
    }

    void onPage(const platform::NewestPage &page)
    {
        if (!page.isOk) {
            reportFailure(page.error);
            scheduleAfter(RetryPause, &Private::loadPage);
            return;
        }
        if (isFirstPage) {
            // The pages aren't one consistent snapshot: records appended since the first page are
            // read again.
            position = page.end;
            isFirstPage = false;
        }
        for (const KeyedRecord &it : page.records) {
            afterKey = it.key;
            keys.insert(it.key);
            callbacks.onRecord(it);
            if (isStopped) {
                return;
            }
        }
        if (page.hasMore) {
            loadPage();
            return;
        }
        callbacks.onSnapshot(keys);
        if (isStopped) {
            return;
        }
        callbacks.onRead(position);
        read();
    }

    void read()
    {
        if (isStopped) {
            return;
        }
        store.read(partition, position, wait,
                   [weak = weak_from_this()](const platform::ReadResult &result) {
                       const auto self = weak.lock();
                       if (self && !self->isStopped) {
                           self->onReadResult(result);
                       }
                   });
    }

    void onReadResult(const platform::ReadResult &result)
    {
        switch (result.state) {
        case platform::ReadState::Trimmed:
            begin();
            return;
        case platform::ReadState::Failed:
            reportFailure(result.error);
            scheduleAfter(RetryPause, &Private::read);
            return;
        case platform::ReadState::Read:
            break;
        }
        if (result.end < position) {
            begin();
            return;
        }
        for (const KeyedRecord &it : result.records) {
            if (!it.key.empty()) {
                callbacks.onRecord(it);
            }
            if (isStopped) {
                return;
            }
        }
        position += result.records.size();
        callbacks.onRead(position);
        if (isStopped) {
            return;
        }
        if (pause > Duration{}) {
            isPausing = true;
            scheduleAfter(pause, &Private::endPause);
        } else {
            read();
        }
    }

    void endPause()
    {
        if (std::exchange(isPausing, false)) {
            timer.cancel();
            read();
        }
    }

    void reportFailure(const std::string &error)
    {
        if (callbacks.onFailed) {
            callbacks.onFailed(error);
        }
    }

    platform::StoreClient &store;
    platform::Partition partition;
    Duration wait;
    Duration pause;
    Callbacks callbacks;
    asio::basic_waitable_timer<Clock> timer;
    std::set<std::string> keys;
    std::string afterKey;
    std::uint64_t position = 0;
    bool isFirstPage = true;
    bool isPausing = false; ///< Between two reads.
    bool isStopped = false;
};

TopicFollower::TopicFollower(asio::io_context &context, platform::StoreClient &store,
                             platform::Partition partition, Duration wait, Duration pause,
                             Callbacks callbacks)
    : m_private(std::make_shared<Private>(context, store, std::move(partition), wait, pause,
                                          std::move(callbacks)))
{
    m_private->begin();
}

TopicFollower::~TopicFollower()
{
    m_private->isStopped = true;
    m_private->timer.cancel();
}

void TopicFollower::setPause(Duration pause)
{
    m_private->pause = pause;
}

void TopicFollower::readNow()
{
    m_private->endPause();
}

} // namespace firefly
