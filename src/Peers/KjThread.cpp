#include "Peers/KjThread.h"

#include <stdexcept>

namespace firefly::internal {

KjThread::KjThread(Task setUp, Task tearDown)
    : m_thread(
        [this, setUp = std::move(setUp), tearDown = std::move(tearDown)] { run(setUp, tearDown); })
{
    std::unique_lock lock(m_mutex);
    m_readyCondition.wait(lock, [this] { return m_ready; });
    if (m_setUpError) {
        lock.unlock();
        m_thread.join();
        std::rethrow_exception(m_setUpError);
    }
}

KjThread::~KjThread()
{
    post([this](kj::AsyncIoContext &) { m_stopping = true; });
    m_thread.join();
}

void KjThread::post(Task task)
{
    const std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(task));
    if (m_wakeUp.get() != nullptr) {
        m_wakeUp->fulfill();
        m_wakeUp = nullptr;
    }
}

void KjThread::reportReady(std::exception_ptr error)
{
    const std::lock_guard lock(m_mutex);
    m_ready = true;
    m_setUpError = std::move(error);
    m_readyCondition.notify_all();
}

void KjThread::run(const Task &setUp, const Task &tearDown)
{
    auto io = kj::setupAsyncIo();
    try {
        setUp(io);
    } catch (const kj::Exception &e) {
        const std::string text = e.getDescription().cStr();
        reportReady(std::make_exception_ptr(std::runtime_error(text)));
        return;
    }
    reportReady(nullptr);
    loop(io);
    tearDown(io);
}

void KjThread::loop(kj::AsyncIoContext &io)
{
    while (!m_stopping) {
        auto wakeUp = kj::newPromiseAndCrossThreadFulfiller<void>();
        std::vector<Task> tasks;
        {
            const std::lock_guard lock(m_mutex);
            tasks.swap(m_tasks);
            if (tasks.empty()) {
                m_wakeUp = kj::mv(wakeUp.fulfiller);
            }
        }
        if (tasks.empty()) {
            wakeUp.promise.wait(io.waitScope);
            continue;
        }
        for (const Task &task : tasks) {
            task(io);
        }
        io.waitScope.poll();
    }
}

} // namespace firefly::internal
