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

/// Reaction of a FakeHttpServer to one request.
struct ScriptedResponse
{
    std::optional<std::string> bytes; ///< Sent verbatim; std::nullopt sends nothing.
    bool closesConnection = false;    ///< Closes the connection afterwards.
};

/// A 200 response with \a body and a matching Content-Length.
inline std::string okResponse(const std::string &body, const std::string &headerLines = {})
{
    return "HTTP/1.1 200 OK\r\n" + headerLines + "Content-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

/// Loopback server that sends one scripted response per request, in order of arrival.
///
/// Requests without a scripted response get no bytes.  It reads only up to the end of the headers:
/// the bodies in the tests are short and arrive with them.
class FakeHttpServer
{
public:
    explicit FakeHttpServer(asio::io_context &context)
        : m_acceptor(context, {asio::ip::address_v4::loopback(), 0})
    {
        accept();
    }

    Endpoint endpoint() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    void enqueue(ScriptedResponse response) { m_responses.push_back(std::move(response)); }
    /// Request lines received so far.
    const std::vector<std::string> &requests() const { return m_requests; }
    int connections() const { return m_connections; }

private:
    struct Session
    {
        explicit Session(asio::ip::tcp::socket clientSocket)
            : socket(std::move(clientSocket))
        {}
        asio::ip::tcp::socket socket;
        std::string received;
        std::string sending;
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
        asio::async_read_until(session->socket, asio::dynamic_buffer(session->received), "\r\n\r\n",
                               [this, session](asio::error_code ec, std::size_t) {
                                   if (!ec) {
                                       respond(session);
                                   }
                               });
    }

    void respond(const std::shared_ptr<Session> &session)
    {
        m_requests.push_back(session->received.substr(0, session->received.find("\r\n")));
        session->received.clear();
        ScriptedResponse response;
        if (!m_responses.empty()) {
            response = std::move(m_responses.front());
            m_responses.pop_front();
        }
        session->sending = response.bytes.value_or("");
        asio::async_write(session->socket, asio::buffer(session->sending),
                          [this, session, closesConnection = response.closesConnection](
                              asio::error_code, std::size_t) {
                              if (closesConnection) {
                                  session->socket.close();
                                  return;
                              }
                              read(session);
                          });
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::deque<ScriptedResponse> m_responses;
    std::vector<std::string> m_requests;
    std::vector<std::shared_ptr<Session>> m_sessions;
    int m_connections = 0;
};

} // namespace firefly::fakes
