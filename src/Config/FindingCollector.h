#pragma once

#include "Config/Finding.h"

#include <yaml-cpp/mark.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace firefly::internal {

/// Collects the findings of one YAML file and gives each the place of its field.
class FindingCollector
{
public:
    explicit FindingCollector(std::string file);

    /// Remembers where \a field stands.
    void place(const std::string &field, const YAML::Mark &mark);

    /// Adds a finding at the place of \a field, or of the nearest enclosing field that has one.
    /// Only the first finding of a field is kept.
    void add(const std::string &field, const std::string &message);
    /// Adds a finding at \a mark.
    void add(const std::string &field, const std::string &message, const YAML::Mark &mark);

    /// All findings in the order of the file.
    std::vector<Finding> sorted() const;

private:
    YAML::Mark markOf(std::string field) const;

    std::string m_file;
    std::map<std::string, YAML::Mark> m_marks;
    std::set<std::string> m_fields;
    std::vector<Finding> m_findings;
};

} // namespace firefly::internal
