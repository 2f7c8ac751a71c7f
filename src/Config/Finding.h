#pragma once

#include <span>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace firefly {

/// One fault of a text that a person wrote, with its place.
struct Finding
{
    std::string file;
    int line = 1;        ///< 1 for the first line.
    int column = 1;      ///< 1 for the first column.
    std::string field;   ///< Dotted path, for example "ownership.holdOffMs".
    std::string message; ///< What is wrong, and what would be right.

    bool operator==(const Finding &) const = default;
};

/// One line: "file:line:column: field: message".
std::string toString(const Finding &finding);

/// All findings, one a line, each ended by a line feed.
std::string toString(std::span<const Finding> findings);

/// Thrown with every finding of one text.
class FindingsError : public std::runtime_error
{
public:
    explicit FindingsError(std::vector<Finding> findings);

    const std::vector<Finding> &findings() const { return m_findings; }

private:
    std::vector<Finding> m_findings;
};

} // namespace firefly
