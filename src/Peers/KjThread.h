#pragma once

#include <kj/async-io.h>

#include <condition_variable>
#include <exception>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace firefly::internal {

/// A thread with kj's event loop, which Cap'n Proto RPC needs beside the Asio loop.
class KjThread
{
public:
    using Task = std::function<void(kj::AsyncIoContext &)>;

    /// Starts the thread and waits until \a setUp ran in it.
    /// \throws what \a setUp threw.
    KjThread(Task setUp, Task tearDown);
    /// Runs the tear-down in the thread and joins it.
    ~KjThread();
    KjThread(const KjThread &) = delete;
    KjThread &operator=(const KjThread &) = delete;

    /// Runs \a task in the thread, after the tasks posted before it.  Callable from any thread.
    void post(Task task);

private:
    void run(const Task &setUp, const Task &tearDown);
    void loop(kj::AsyncIoContext &io);
    void reportReady(std::exception_ptr error);

    std::mutex m_mutex;
    std::condition_variable m_readyChanged;
    bool m_ready = false;
    bool m_stopping = false;
    std::exception_ptr m_setUpError;
    std::vector<Task> m_tasks;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_wake;
    std::thread m_thread;
};

} // namespace firefly::internal
