#pragma once

#include <kj/async-io.h>

#include <condition_variable>
#include <exception>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace firefly::internal {

/// A thread that runs a kj event loop, which Cap'n Proto RPC needs besides the Asio loop.
class KjThread
{
public:
    using Task = std::function<void(kj::AsyncIoContext &)>;

    /// Starts the thread and blocks until \a setUp has run on it.
    /// \throws std::runtime_error with the description of a kj::Exception thrown by \a setUp.
    KjThread(Task setUp, Task tearDown);
    /// Runs the tear-down task on the thread and joins the thread.
    ~KjThread();
    KjThread(const KjThread &) = delete;
    KjThread &operator=(const KjThread &) = delete;

    /// Runs \a task on the thread, after all tasks posted earlier.  Thread-safe.
    void post(Task task);

private:
    void run(const Task &setUp, const Task &tearDown);
    void loop(kj::AsyncIoContext &io);
    void reportReady(std::exception_ptr error);

    std::mutex m_mutex;
    std::condition_variable m_readyCondition;
    bool m_ready = false;
    bool m_stopping = false;
    std::exception_ptr m_setUpError;
    std::vector<Task> m_tasks;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_wakeUp;
    std::thread m_thread;
};

} // namespace firefly::internal
