#include "Adapters/CurlLoop.h"

#include <asio/ip/address.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>
#include <sys/socket.h>

#include <cctype>
#include <map>
#include <mutex>
#include <span>
#include <stdexcept>
#include <utility>

namespace firefly {
namespace {

constexpr std::size_t MaxHeaderFields = 64;
constexpr int StatusNoContent = 204;

long toMilliseconds(Duration duration)
{
    return static_cast<long>(std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

std::string toLower(std::string_view text)
{
    std::string lower(text);
    std::ranges::transform(lower, lower.begin(), [](unsigned char c) { return std::tolower(c); });
    return lower;
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

/// One exchange in flight; owns its libcurl easy handle.
struct Transfer
{
    HttpExchange exchange;
    CurlLoop::Callback callback;
    HttpResult result;
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
    bool wasSent = false;

    Transfer(HttpExchange request, CurlLoop::Callback onDone)
        : exchange(std::move(request))
        , callback(std::move(onDone))
        , easy(curl_easy_init())
    {}
    ~Transfer()
    {
        curl_slist_free_all(headers);
        curl_easy_cleanup(easy);
    }
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;
};

std::size_t onBody(char *data, std::size_t size, std::size_t count, void *user)
{
    auto &transfer = *static_cast<Transfer *>(user);
    const std::size_t n = size * count;
    if (transfer.result.body.size() + n > transfer.exchange.maxResponseBytes) {
        return 0;
    }
    transfer.result.body.append(data, n);
    return n;
}

std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *user)
{
    auto &transfer = *static_cast<Transfer *>(user);
    const std::string_view line(data, size * count);
    const auto colon = line.find(':');
    if (line.starts_with("HTTP/")) {
        transfer.result.headers.clear();
    } else if (colon != std::string_view::npos
               && transfer.result.headers.size() < MaxHeaderFields) {
        transfer.result.headers.push_back(
            {toLower(line.substr(0, colon)), std::string(trim(line.substr(colon + 1)))});
    }
    return line.size();
}

/// Called by libcurl before each sending of the request on a connection; aborts a second sending.
int onBeforeSend(void *user, char * /*remote*/, char * /*local*/, int /*remotePort*/,
                 int /*localPort*/)
{
    auto &transfer = *static_cast<Transfer *>(user);
    if (std::exchange(transfer.wasSent, true)) {
        return CURL_PREREQFUNC_ABORT;
    }
    return CURL_PREREQFUNC_OK;
}

/// Called by libcurl for each new socket: from then on each close resets the connection, also the
/// kernel's own at the end of the process, so that nothing of an unfinished request is delivered
/// afterwards.
int onSocketCreated(void * /*user*/, curl_socket_t fd, curlsocktype /*purpose*/)
{
    const linger reset{.l_onoff = 1, .l_linger = 0};
    // Without the option requests may be late, as they may be anyway behind a proxy.
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    return CURL_SOCKOPT_OK;
}

void setMethod(const Transfer &transfer)
{
    const HttpExchange &exchange = transfer.exchange;
    if (exchange.method == "GET") {
        curl_easy_setopt(transfer.easy, CURLOPT_HTTPGET, 1L);
        return;
    }
    curl_easy_setopt(transfer.easy, CURLOPT_CUSTOMREQUEST, exchange.method.c_str());
    if (exchange.method == "DELETE" && exchange.body.empty()) {
        return;
    }
    curl_easy_setopt(transfer.easy, CURLOPT_POST, 1L);
    curl_easy_setopt(transfer.easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(exchange.body.size()));
    curl_easy_setopt(transfer.easy, CURLOPT_POSTFIELDS, exchange.body.data());
}

void setHeaders(Transfer &transfer)
{
    transfer.headers = curl_slist_append(nullptr, "Expect:");
    for (const HttpHeader &header : transfer.exchange.headers) {
        const std::string line = header.name + ": " + header.value;
        transfer.headers = curl_slist_append(transfer.headers, line.c_str());
    }
    curl_easy_setopt(transfer.easy, CURLOPT_HTTPHEADER, transfer.headers);
}

void setLimits(const Transfer &transfer, const CurlLoopOptions &options)
{
    const Duration timeout = std::max(transfer.exchange.timeout, Duration(1));
    CURL *easy = transfer.easy;
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, toMilliseconds(timeout));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     toMilliseconds(std::min(timeout, options.connectTimeout)));
    const auto probe = std::chrono::ceil<std::chrono::seconds>(options.keepAliveInterval).count();
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, static_cast<long>(probe));
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, static_cast<long>(probe));
    const auto idle = std::chrono::ceil<std::chrono::seconds>(options.maxIdleTime).count();
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, static_cast<long>(idle));
}

void setCallbacks(Transfer &transfer)
{
    CURL *easy = transfer.easy;
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &onSocketCreated);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &onBeforeSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
}

void configure(Transfer &transfer, const CurlLoopOptions &options)
{
    CURL *easy = transfer.easy;
    curl_easy_setopt(easy, CURLOPT_URL, transfer.exchange.url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    setMethod(transfer);
    setHeaders(transfer);
    setLimits(transfer, options);
    setCallbacks(transfer);
}

/// True if the end of the response body is known from Content-Length, chunked encoding or status
/// 204, rather than only from the closing of the connection, and the body has the announced length.
bool isBodyDelimited(const Transfer &transfer)
{
    curl_off_t contentLength = -1;
    curl_easy_getinfo(transfer.easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &contentLength);
    if (contentLength >= 0) {
        return static_cast<std::size_t>(contentLength) == transfer.result.body.size();
    }
    return transfer.result.header("transfer-encoding") == "chunked"
           || transfer.result.statusCode == StatusNoContent;
}

void classify(Transfer &transfer, CURLcode code)
{
    HttpResult &result = transfer.result;
    long status = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
    result.statusCode = static_cast<int>(status);
    if (code == CURLE_OK && isBodyDelimited(transfer)) {
        result.state = ExchangeState::Complete;
        return;
    }
    result.state = transfer.wasSent ? ExchangeState::Uncertain : ExchangeState::NotSent;
    if (code == CURLE_COULDNT_CONNECT) {
        long connectError = 0;
        curl_easy_getinfo(transfer.easy, CURLINFO_OS_ERRNO, &connectError);
        result.isRefused = connectError == ECONNREFUSED;
    }
    if (code == CURLE_ABORTED_BY_CALLBACK) {
        // onBeforeSend() suppressed libcurl's retry on another connection.
        result.error = "connection closed before the response";
        return;
    }
    result.error = code == CURLE_OK ? "end of response not marked by its length or chunked encoding"
                                    : curl_easy_strerror(code);
}

/// Checks that the host of \a url is an IP address, so that no name is ever resolved.
void requireIpAddress(const std::string &url)
{
    CURLU *parts = curl_url();
    char *host = nullptr;
    const bool isParsed = curl_url_set(parts, CURLUPART_URL, url.c_str(), 0) == CURLUE_OK
                          && curl_url_get(parts, CURLUPART_HOST, &host, 0) == CURLUE_OK;
    std::string name = isParsed ? host : "";
    curl_free(host);
    curl_url_cleanup(parts);
    if (name.starts_with('[') && name.ends_with(']')) {
        name = name.substr(1, name.size() - 2);
    }
    asio::error_code ec;
    asio::ip::make_address(name, ec);
    if (ec) {
        throw std::invalid_argument("expected an HTTP URL with an IP address as its host, got "
                                    + url);
    }
}

/// Checks that no header field contains a line break or NUL, to prevent header injection.
void requireSingleLineHeaders(std::span<const HttpHeader> headers)
{
    constexpr std::string_view LineEnds("\r\n\0", 3);
    for (const HttpHeader &header : headers) {
        const bool isSingleLine = header.name.find_first_of(LineEnds) == std::string::npos
                                  && header.value.find_first_of(LineEnds) == std::string::npos;
        if (!isSingleLine) {
            throw std::invalid_argument("line break or NUL in HTTP header field " + header.name);
        }
    }
}

/// A socket that libcurl owns and asio waits on.
struct SocketWatch
{
    SocketWatch(asio::io_context &context, curl_socket_t fd)
        : descriptor(context, fd)
    {}
    asio::posix::stream_descriptor descriptor;
    int requestedEvents = CURL_POLL_NONE; ///< CURL_POLL_ flags that libcurl asked for.
    bool isReadWaitPending = false;
    bool isWriteWaitPending = false;
};

} // namespace

struct CurlLoop::Impl : std::enable_shared_from_this<Impl>
{
    using WatchPtr = std::shared_ptr<SocketWatch>;

    Impl(asio::io_context &ioContext, CurlLoopOptions loopOptions)
        : context(ioContext)
        , options(loopOptions)
        , timer(ioContext)
    {
        static std::once_flag once;
        std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
        multi = curl_multi_init();
        curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &Impl::onSocket);
        curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &Impl::onTimer);
        curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, options.maxIdleConnections);
        curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS, options.maxConnectionsPerHost);
    }

    ~Impl()
    {
        for (const auto &[easy, transfer] : transfers) {
            curl_multi_remove_handle(multi, easy);
        }
        curl_multi_cleanup(multi);
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    static int onSocket(CURL * /*easy*/, curl_socket_t fd, int event, void *self, void * /*user*/)
    {
        static_cast<Impl *>(self)->updateWatch(fd, event);
        return 0;
    }

    static int onTimer(CURLM * /*multi*/, long timeoutMs, void *self)
    {
        static_cast<Impl *>(self)->setTimer(timeoutMs);
        return 0;
    }

    void updateWatch(curl_socket_t fd, int event)
    {
        const auto it = watches.find(fd);
        if (event == CURL_POLL_REMOVE) {
            if (it != watches.end()) {
                it->second->descriptor.release();
                watches.erase(it);
            }
            return;
        }
        const WatchPtr socket =
            it != watches.end() ? it->second : std::make_shared<SocketWatch>(context, fd);
        watches[fd] = socket;
        socket->requestedEvents = event;
        startWaits(fd, socket);
    }

    bool isWatched(curl_socket_t fd, const WatchPtr &socket) const
    {
        const auto it = watches.find(fd);
        return it != watches.end() && it->second == socket;
    }

    void startWaits(curl_socket_t fd, const WatchPtr &socket)
    {
        if ((socket->requestedEvents & CURL_POLL_IN) != 0 && !socket->isReadWaitPending) {
            socket->isReadWaitPending = true;
            waitFor(fd, socket, asio::posix::stream_descriptor::wait_read, CURL_CSELECT_IN);
        }
        if ((socket->requestedEvents & CURL_POLL_OUT) != 0 && !socket->isWriteWaitPending) {
            socket->isWriteWaitPending = true;
            waitFor(fd, socket, asio::posix::stream_descriptor::wait_write, CURL_CSELECT_OUT);
        }
    }

    void waitFor(curl_socket_t fd, const WatchPtr &socket,
                 asio::posix::stream_descriptor::wait_type type, int mask)
    {
        auto onReady = [weak = weak_from_this(), fd, socket, mask](asio::error_code ec) {
            (mask == CURL_CSELECT_IN ? socket->isReadWaitPending : socket->isWriteWaitPending) =
                false;
            const auto self = weak.lock();
            if (ec || !self || !self->isWatched(fd, socket)) {
                return;
            }
            self->runSocketAction(fd, mask);
            if (self->isWatched(fd, socket)) {
                self->startWaits(fd, socket);
            }
        };
        socket->descriptor.async_wait(type, std::move(onReady));
    }

    void setTimer(long timeoutMs)
    {
        timer.cancel();
        if (timeoutMs < 0) {
            return;
        }
        timer.expires_after(std::chrono::milliseconds(timeoutMs));
        timer.async_wait([weak = weak_from_this()](asio::error_code ec) {
            const auto self = weak.lock();
            if (!ec && self) {
                self->runSocketAction(CURL_SOCKET_TIMEOUT, 0);
            }
        });
    }

    void runSocketAction(curl_socket_t fd, int mask)
    {
        int running = 0;
        curl_multi_socket_action(multi, fd, mask, &running);
        finishTransfers();
    }

    void finishTransfers()
    {
        int queued = 0;
        while (const CURLMsg *message = curl_multi_info_read(multi, &queued)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            const CURLcode code = message->data.result;
            const auto it = transfers.find(message->easy_handle);
            const auto transfer = std::move(it->second);
            transfers.erase(it);
            classify(*transfer, code);
            curl_multi_remove_handle(multi, transfer->easy);
            postResult(*transfer);
        }
    }

    void postResult(Transfer &transfer)
    {
        asio::post(context, [weak = weak_from_this(), callback = std::move(transfer.callback),
                             result = std::move(transfer.result)]() mutable {
            if (const auto self = weak.lock()) {
                callback(std::move(result));
            }
        });
    }

    asio::io_context &context;
    CurlLoopOptions options;
    asio::steady_timer timer;
    CURLM *multi = nullptr;
    std::map<curl_socket_t, WatchPtr> watches;
    std::map<CURL *, std::unique_ptr<Transfer>> transfers;
};

CurlLoop::CurlLoop(asio::io_context &context, CurlLoopOptions options)
    : m_impl(std::make_shared<Impl>(context, options))
{}

CurlLoop::~CurlLoop() = default;

void CurlLoop::start(HttpExchange exchange, Callback callback)
{
    requireIpAddress(exchange.url);
    requireSingleLineHeaders(exchange.headers);
    auto transfer = std::make_unique<Transfer>(std::move(exchange), std::move(callback));
    configure(*transfer, m_impl->options);
    CURL *easy = transfer->easy;
    m_impl->transfers.emplace(easy, std::move(transfer));
    curl_multi_add_handle(m_impl->multi, easy);
}

std::size_t CurlLoop::inFlight() const
{
    return m_impl->transfers.size();
}

} // namespace firefly
