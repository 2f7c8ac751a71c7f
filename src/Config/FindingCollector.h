#pragma once

#include "Config/Finding.h"

#include <yaml-cpp/mark.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace firefly::internal {

/// Collects the findings of one YAML file and adds the position of the field to each.
class FindingCollector
{
public:
    explicit FindingCollector(std::string file);

    /// Stores the position of \a field.
    void setPosition(const std::string &field, const YAML::Mark &mark);

    /// Adds a finding at the position of \a field, or of the nearest enclosing field that has one.
    /// Keeps only the first finding of each field.
    void add(const std::string &field, const std::string &message);
    /// Adds a finding at \a mark.
    void add(const std::string &field, const std::string &message, const YAML::Mark &mark);

    /// All findings, by position in the file.
    std::vector<Finding> sorted() const;

private:
    YAML::Mark findMark(std::string field) const;

    std::string m_file;
    std::map<std::string, YAML::Mark> m_marks;
    std::set<std::string> m_reportedFields;
    std::vector<Finding> m_findings;
};

} // namespace firefly::internal
