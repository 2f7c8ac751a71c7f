#pragma once

#include "Core/VmInfo.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace firefly::fakes {

/// What a FakeHttpPeer does with one request.
struct PeerScript
{
    std::optional<std::string> bytes; ///< Sent as they are; nothing: stays silent.
    bool closes = false;              ///< Closes the connection after that.
};

/// An HTTP answer with a length that matches \a body.
inline std::string wholeAnswer(const std::string &body, const std::string &fields = {})
{
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

/// Loopback server that follows a script, one line a request, in order of arrival.
/// Requests beyond the script get no answer.  It reads headers only: the bodies of the tests are
/// short and come with them.
class FakeHttpPeer
{
public:
    explicit FakeHttpPeer(asio::io_context &context)
        : m_acceptor(context, {asio::ip::address_v4::loopback(), 0})
    {
        accept();
    }

    Endpoint endpoint() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    void expect(PeerScript script) { m_scripts.push_back(std::move(script)); }
    /// First lines of the requests that arrived.
    const std::vector<std::string> &requests() const { return m_requests; }
    int connections() const { return m_connections; }

private:
    struct Session
    {
        explicit Session(asio::ip::tcp::socket peer)
            : socket(std::move(peer))
        {}
        asio::ip::tcp::socket socket;
        std::string buf;
        std::string out;
    };

    void accept()
    {
        m_acceptor.async_accept([this](asio::error_code ec, asio::ip::tcp::socket socket) {
            if (ec) {
                return;
            }
            ++m_connections;
            m_sessions.push_back(std::make_shared<Session>(std::move(socket)));
            read(m_sessions.back());
            accept();
        });
    }

    void read(const std::shared_ptr<Session> &session)
    {
        asio::async_read_until(session->socket, asio::dynamic_buffer(session->buf), "\r\n\r\n",
                               [this, session](asio::error_code ec, std::size_t) {
                                   if (!ec) {
                                       answer(session);
                                   }
                               });
    }

    void answer(const std::shared_ptr<Session> &session)
    {
        m_requests.push_back(session->buf.substr(0, session->buf.find("\r\n")));
        session->buf.clear();
        PeerScript script;
        if (!m_scripts.empty()) {
            script = std::move(m_scripts.front());
            m_scripts.pop_front();
        }
        session->out = script.bytes.value_or("");
        asio::async_write(session->socket, asio::buffer(session->out),
                          [this, session, closes = script.closes](asio::error_code, std::size_t) {
                              if (closes) {
                                  session->socket.close();
                                  return;
                              }
                              read(session);
                          });
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::deque<PeerScript> m_scripts;
    std::vector<std::string> m_requests;
    std::vector<std::shared_ptr<Session>> m_sessions;
    int m_connections = 0;
};

} // namespace firefly::fakes
