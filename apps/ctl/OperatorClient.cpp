#include "ctl/OperatorClient.h"

#include <curl/curl.h>

#include <memory>

namespace firefly::ctl {
namespace {

constexpr long ConnectTimeoutMs = 3'000;
constexpr long RequestTimeoutMs = 30'000;

using CurlHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using Headers = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

std::size_t appendBody(const char *data, std::size_t size, std::size_t n, void *target)
{
    static_cast<std::string *>(target)->append(data, size * n);
    return size * n;
}

Headers makeHeaders(const std::string &token)
{
    Headers headers(nullptr, &curl_slist_free_all);
    for (const std::string &line :
         {"Authorization: Bearer " + token, std::string("Content-Type: application/json"),
          std::string("Expect:")}) {
        curl_slist *extended = curl_slist_append(headers.get(), line.c_str());
        static_cast<void>(headers.release());
        headers.reset(extended);
    }
    return headers;
}

/// One HTTP request to one address; refers to the caller's strings.
struct Request
{
    const std::string &method;
    const std::string &url;
    const std::string &token;
    const std::string &body;
};

CURLcode perform(const Request &request, ClientResponse &response)
{
    const CurlHandle handle(curl_easy_init(), &curl_easy_cleanup);
    if (!handle) {
        return CURLE_FAILED_INIT;
    }
    const Headers headers = makeHeaders(request.token);
    CURL *curl = handle.get();
    curl_easy_setopt(curl, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, RequestTimeoutMs);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &response.body);
    if (request.method != "GET") {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.body.c_str());
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
    }
    const CURLcode code = curl_easy_perform(curl);
    long status = 0;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    response.status = static_cast<int>(status);
    return code;
}

std::vector<std::string> splitAtCommas(std::string_view text)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const std::size_t comma = text.find(',');
        const std::string_view part = text.substr(0, comma);
        if (!part.empty()) {
            parts.emplace_back(part);
        }
        text = comma == std::string_view::npos ? "" : text.substr(comma + 1);
    }
    return parts;
}

} // namespace

OperatorClient::OperatorClient(std::string_view addresses, std::string token)
    : m_addresses(splitAtCommas(addresses))
    , m_token(std::move(token))
{}

ClientResponse OperatorClient::send(const std::string &method, const std::string &path,
                                    const std::string &body) const
{
    std::string failure = "no address given";
    for (const std::string &it : m_addresses) {
        std::string url = "http://";
        url.append(it).append(path);
        ClientResponse response;
        const CURLcode code = perform({method, url, m_token, body}, response);
        if (code == CURLE_OK) {
            return response;
        }
        failure = it;
        failure.append(": ").append(curl_easy_strerror(code));
        if (code != CURLE_COULDNT_CONNECT) {
            throw UnreachableError(failure, method != "GET");
        }
    }
    throw UnreachableError(failure, false);
}

} // namespace firefly::ctl
