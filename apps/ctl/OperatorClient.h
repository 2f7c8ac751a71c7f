#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace firefly::ctl {

/// Thrown when no entry replied to a request.
class UnreachableError : public std::runtime_error
{
public:
    UnreachableError(const std::string &what, bool mayHaveTakenEffect)
        : std::runtime_error(what)
        , m_mayHaveTakenEffect(mayHaveTakenEffect)
    {}

    /// True if the request may have been carried out although its reply is missing.
    bool mayHaveTakenEffect() const { return m_mayHaveTakenEffect; }

private:
    bool m_mayHaveTakenEffect;
};

/// HTTP reply of an entry.
struct ClientResponse
{
    int status = 0;
    std::string body;
};

/// Blocking HTTP client of the entries' operator API.
class OperatorClient
{
public:
    /// \a addresses: "IP:port" of one or more entries, separated by commas.
    OperatorClient(std::string_view addresses, std::string token);

    /// Sends one request to the first entry that accepts a connection.
    /// \throws UnreachableError if no entry does, or the reply is missing
    ClientResponse send(const std::string &method, const std::string &path,
                        const std::string &body = "") const;

    /// True if the client was given exactly one address.
    bool hasSingleAddress() const { return m_addresses.size() == 1; }

private:
    std::vector<std::string> m_addresses;
    std::string m_token;
};

} // namespace firefly::ctl
