#pragma once

#include <cstddef>
#include <functional>
#include <utility>
#include <vector>

namespace firefly::fakes {

/// A message in flight.
struct FakeMessage
{
    std::function<void()> deliver;
    std::function<void()> lose = [] {};    ///< Reports its loss to the sender.
    std::function<void()> timeOut = [] {}; ///< Reports a timeout to the sender; it stays in flight.
    bool mayRepeat = false;                ///< May be delivered more than once.
};

/// Network without bounds on delay or order: the test decides when each message is delivered or
/// lost.  A message is selected by any number, modulo those in flight.
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
    /// Delivers the messages in the order of sending, including those sent meanwhile, until none is
    /// in flight.
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
