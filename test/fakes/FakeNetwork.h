#pragma once

#include <cstddef>
#include <functional>
#include <utility>
#include <vector>

namespace firefly::fakes {

/// A message on its way.
struct FakeMessage
{
    std::function<void()> deliver;
    std::function<void()> lose = [] {}; ///< What its sender notices when it is lost.
    std::function<void()> timeOut = [] {
    };                      ///< What its sender notices while it is still on its way.
    bool mayRepeat = false; ///< May arrive more than once.
};

/// Messages without bounds on delay or order; the test decides what arrives when.
class FakeNetwork
{
public:
    void send(FakeMessage message) { m_messages.push_back(std::move(message)); }
    bool isEmpty() const { return m_messages.empty(); }

    void deliver(std::size_t value) { take(value).deliver(); }
    void deliverNewest() { deliver(m_messages.size() - 1); }
    void lose(std::size_t value) { take(value).lose(); }
    void timeOut(std::size_t value)
    {
        const auto message = at(value);
        message.timeOut();
    }
    void repeat(std::size_t value)
    {
        const auto message = at(value);
        if (message.mayRepeat) {
            message.deliver();
        }
    }
    /// Delivers in order of sending until nothing is on its way.
    void deliverAll()
    {
        while (!isEmpty()) {
            deliver(0);
        }
    }

private:
    FakeMessage at(std::size_t value) const { return m_messages[value % m_messages.size()]; }
    FakeMessage take(std::size_t value)
    {
        const auto it = m_messages.begin() + static_cast<std::ptrdiff_t>(value % m_messages.size());
        FakeMessage message = std::move(*it);
        m_messages.erase(it);
        return message;
    }

    std::vector<FakeMessage> m_messages;
};

} // namespace firefly::fakes
