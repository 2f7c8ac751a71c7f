#pragma once

#include "Config/FindingCollector.h"
#include "Core/Clock.h"
#include "Core/Resources.h"
#include "Core/VmInfo.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace firefly::internal {

/// Whether a field must be there.
enum class Need { Optional, Required };

/// Smallest and largest value that is allowed, both included.
struct Range
{
    std::int64_t least;
    std::int64_t most;
};

/// Any whole number that a file may hold; narrower bounds are checked later.
constexpr Range AnyInteger{-1'000'000'000'000'000, 1'000'000'000'000'000};

/// A YAML map that is read field by field.
///
/// A reader leaves its target as it is when the field is absent or faulty, and reports the fault.
/// finish() reports the keys that no reader asked for.
class YamlSection
{
public:
    /// \a path is the dotted path of the map, empty for the whole file.
    YamlSection(const YAML::Node &node, std::string path, FindingCollector &findings);

    void text(const std::string &key, std::string &target, Need need = Need::Optional);
    void flag(const std::string &key, bool &target);
    void integer(const std::string &key, std::int64_t &target, Range range,
                 Need need = Need::Optional);
    void number(const std::string &key, double &target, double least, double most);
    void milliseconds(const std::string &key, Duration &target, Range range);
    void endpoint(const std::string &key, Endpoint &target);
    /// Reads `processors`, `memory`, `slots` and the always optional `accelerators`.
    void resources(Resources &target, Need need);
    /// Reads a list of texts.
    void texts(const std::string &key, std::vector<std::string> &target);

    /// The map under \a key; empty when there is none.
    YamlSection child(const std::string &key);
    /// The maps in the list under \a key.
    std::vector<YamlSection> children(const std::string &key);
    /// Every key with its value, for maps whose keys are free names.
    std::vector<std::pair<std::string, YAML::Node>> entries();

    bool has(const std::string &key) const { return m_nodes.contains(key); }
    std::string pathOf(const std::string &key) const;
    FindingCollector &findings() { return *m_findings; }
    void finish();

private:
    void index(const YAML::Node &node);
    /// The scalar under \a key; nothing, and a finding when due, if it is not there.
    std::optional<YAML::Node> scalar(const std::string &key, Need need, std::string_view expected);
    void processors(std::int64_t &target, Need need);
    void memory(std::int64_t &target, Need need);

    std::string m_path;
    FindingCollector *m_findings;
    std::map<std::string, YAML::Node> m_nodes;
    std::vector<std::pair<std::string, YAML::Mark>> m_keys; ///< In the order of the file.
    std::set<std::string> m_used;
};

/// Parses \a text; a syntax error becomes a finding and an empty node.
YAML::Node parseYaml(std::string_view text, FindingCollector &findings);

} // namespace firefly::internal
