#include "Adapters/CurlLoop.h"
#include "Http.h"

#include <asio/post.hpp>
#include <gtest/gtest.h>

#include <string>

using namespace firefly;

namespace {

const Endpoint ServerEndpoint{"127.0.0.1", 18561};
constexpr std::size_t MaxBody = 100;

/// Status of a POST with a body of \a bytes; 0 if the connection is closed without a response.
long post(std::size_t bytes, std::size_t maxBufferedBytes)
{
    asio::io_context context;
    HttpLimits limits;
    limits.maxBodyBytes = MaxBody;
    limits.maxBufferedBytes = maxBufferedBytes;
    HttpServer server(
        context, ServerEndpoint, limits,
        [](const HttpRequest &, const HttpServer::Respond &respond) { respond(HttpResponse{}); });
    CurlLoop curl(context);
    HttpExchange exchange;
    exchange.method = "POST";
    exchange.url = "http://127.0.0.1:18561/";
    exchange.body = std::string(bytes, 'x');
    exchange.timeout = std::chrono::seconds(10);
    long status = -1;
    asio::post(context, [&] {
        curl.start(exchange, [&](const HttpResult &result) { status = result.statusCode; });
    });
    while (status < 0) {
        context.run_one();
    }
    return status;
}

} // namespace

TEST(HttpServerLimits, bodyWithinTheLimitIsHandled)
{
    EXPECT_EQ(post(MaxBody, 1000), 200);
}

TEST(HttpServerLimits, bodyOverTheLimitIsAnswered413)
{
    EXPECT_EQ(post(MaxBody + 1, 1000), 413);
}

TEST(HttpServerLimits, bodyThatWouldExceedTheBufferLimitIsAnswered503)
{
    EXPECT_EQ(post(MaxBody, MaxBody - 1), 503);
}
