#include "Node/TopicFollower.h"

#include <utility>

namespace firefly {

struct TopicFollower::Private : std::enable_shared_from_this<Private>
{
    Private(asio::io_context &context, platform::StoreClient &storeIn, StoreRetryPolicy &retriesIn,
            Options optionsIn, Callbacks callbacksIn)
        : store(storeIn)
        , retries(retriesIn)
        , options(std::move(optionsIn))
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
        store.newest(options.partition, afterKey,
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
            retry(&Private::loadPage, page.error);
            return;
        }
        failures = 0;
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

    void read() { readFor(options.wait); }

    /// Reads from the current position on; the result of an earlier read is dropped.
    void readFor(Duration wait)
    {
        if (isStopped) {
            return;
        }
        isReading = true;
        store.read(
            options.partition, position, wait,
            [weak = weak_from_this(), number = ++readNumber](const platform::ReadResult &result) {
                const auto self = weak.lock();
                if (self && !self->isStopped && self->readNumber == number) {
                    self->isReading = false;
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
            retry(&Private::read, result.error);
            return;
        case platform::ReadState::Read:
            break;
        }
        failures = 0;
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
        if (options.pause > Duration{}) {
            isPausing = true;
            scheduleAfter(options.pause, &Private::endPause);
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

    void catchUp(std::uint64_t end)
    {
        if (end <= position) {
            return;
        }
        if (isReading) {
            readFor(Duration{});
        } else {
            endPause();
        }
    }

    /// Reports that \a step has failed and repeats it later.
    void retry(void (Private::*step)(), const std::string &error)
    {
        ++failures;
        if (callbacks.onFailed) {
            callbacks.onFailed(error);
        }
        if (!isStopped) {
            scheduleAfter(retries.delayAfter(options.kind, failures), step);
        }
    }

    platform::StoreClient &store;
    StoreRetryPolicy &retries;
    Options options;
    Callbacks callbacks;
    asio::basic_waitable_timer<Clock> timer;
    std::set<std::string> keys;
    std::string afterKey;
    std::uint64_t position = 0;
    int failures = 0; ///< Failed reads in a row.
    bool isFirstPage = true;
    std::uint64_t readNumber = 0; ///< Of the latest read.
    bool isReading = false;       ///< The latest read awaits its result.
    bool isPausing = false;       ///< Between two reads.
    bool isStopped = false;
};

TopicFollower::TopicFollower(asio::io_context &context, platform::StoreClient &store,
                             StoreRetryPolicy &retries, Options options, Callbacks callbacks)
    : m_private(std::make_shared<Private>(context, store, retries, std::move(options),
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
    m_private->options.pause = pause;
}

void TopicFollower::readNow()
{
    m_private->endPause();
}

void TopicFollower::catchUp(std::uint64_t end)
{
    m_private->catchUp(end);
}

} // namespace firefly
