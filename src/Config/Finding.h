#pragma once

#include <span>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace firefly {

/// One error in a settings file or list, with its position.
struct Finding
{
    std::string file;
    int line = 1;        ///< 1 for the first line.
    int column = 1;      ///< 1 for the first column.
    std::string field;   ///< Dotted path, for example "ownership.holdOffMs".
    std::string message; ///< What is wrong, and what was expected.

    bool operator==(const Finding &) const = default;
};

/// Formats \a finding as "file:line:column: field: message".
std::string toString(const Finding &finding);

/// Formats all findings, one per line, each followed by a line feed.
std::string toString(std::span<const Finding> findings);

/// Thrown with all findings of one file or list.
class FindingsError : public std::runtime_error
{
public:
    explicit FindingsError(std::vector<Finding> findings);

    const std::vector<Finding> &findings() const { return m_findings; }

private:
    std::vector<Finding> m_findings;
};

} // namespace firefly
