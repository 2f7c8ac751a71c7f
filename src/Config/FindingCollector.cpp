#include "Config/FindingCollector.h"

#include <algorithm>
#include <tuple>

namespace firefly::internal {

FindingCollector::FindingCollector(std::string file)
    : m_file(std::move(file))
{}

void FindingCollector::setPosition(const std::string &field, const YAML::Mark &mark)
{
    m_marks.emplace(field, mark);
}

void FindingCollector::add(const std::string &field, const std::string &message)
{
    add(field, message, findMark(field));
}

void FindingCollector::add(const std::string &field, const std::string &message,
                           const YAML::Mark &mark)
{
    if (!m_reportedFields.insert(field).second) {
        return;
    }
    const int line = std::max(mark.line, 0) + 1;
    const int column = std::max(mark.column, 0) + 1;
    const std::string displayName = field.empty() ? "(file)" : field;
    m_findings.push_back(Finding{m_file, line, column, displayName, message});
}

std::vector<Finding> FindingCollector::sorted() const
{
    std::vector<Finding> findings = m_findings;
    std::stable_sort(findings.begin(), findings.end(), [](const Finding &a, const Finding &b) {
        return std::tie(a.line, a.column) < std::tie(b.line, b.column);
    });
    return findings;
}

YAML::Mark FindingCollector::findMark(std::string field) const
{
    while (true) {
        const auto it = m_marks.find(field);
        if (it != m_marks.end()) {
            return it->second;
        }
        const std::size_t dot = field.rfind('.');
        if (dot == std::string::npos) {
            return YAML::Mark();
        }
        field.resize(dot);
    }
}

} // namespace firefly::internal
