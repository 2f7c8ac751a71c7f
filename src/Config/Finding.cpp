#include "Config/Finding.h"

namespace firefly {

std::string toString(const Finding &finding)
{
    return finding.file + ":" + std::to_string(finding.line) + ":" + std::to_string(finding.column)
           + ": " + finding.field + ": " + finding.message;
}

std::string toString(std::span<const Finding> findings)
{
    std::string text;
    for (const Finding &it : findings) {
        text += toString(it);
        text += '\n';
    }
    return text;
}

FindingsError::FindingsError(std::vector<Finding> findings)
    : std::runtime_error(toString(findings))
    , m_findings(std::move(findings))
{}

} // namespace firefly
