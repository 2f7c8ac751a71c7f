#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace firefly::ctl {

/// Thrown when no entry answered.
class NotReached : public std::runtime_error
{
public:
    NotReached(const std::string &what, bool mayHaveTakenEffect)
        : std::runtime_error(what)
        , m_mayHaveTakenEffect(mayHaveTakenEffect)
    {}

    /// True when the request was sent, and only its reply is missing.
    bool mayHaveTakenEffect() const { return m_mayHaveTakenEffect; }

private:
    bool m_mayHaveTakenEffect;
};

/// The reply of an entry.
struct ClientResponse
{
    int status = 0;
    std::string body;
};

/// Blocking client of the operator address.
class OperatorClient
{
public:
    /// \a addresses: "IP:port" of one or more entries, separated by commas.
    OperatorClient(std::string_view addresses, std::string token);

    /// Sends one request to the first entry that accepts a connection.
    /// \throws NotReached
    ClientResponse send(const std::string &method, const std::string &path,
                        const std::string &body = "") const;

    /// True when exactly one entry can answer.
    bool namesOneEntry() const { return m_addresses.size() == 1; }

private:
    std::vector<std::string> m_addresses;
    std::string m_token;
};

} // namespace firefly::ctl
