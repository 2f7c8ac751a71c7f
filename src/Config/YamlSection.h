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

/// Whether a field must be present.
enum class Presence { Optional, Required };

/// Smallest and largest allowed value, both inclusive.
struct Range
{
    std::int64_t min;
    std::int64_t max;
};

/// Range of any integer in a file; stricter bounds are checked later.
constexpr Range AnyInteger{-1'000'000'000'000'000, 1'000'000'000'000'000};

/// Reads the fields of a YAML map, and reports errors as findings.
///
/// The read functions leave \a target unchanged if the field is absent or invalid, and add a
/// finding if it is invalid or required.  reportUnknownKeys() reports the keys that were not read.
class YamlSection
{
public:
    /// \a path is the dotted path of the map, empty for the whole file.
    YamlSection(const YAML::Node &node, std::string path, FindingCollector &findings);

    void readString(const std::string &key, std::string &target,
                    Presence presence = Presence::Optional);
    void readBool(const std::string &key, bool &target);
    void readInteger(const std::string &key, std::int64_t &target, Range range,
                     Presence presence = Presence::Optional);
    void readNumber(const std::string &key, double &target, double min, double max);
    void readMilliseconds(const std::string &key, Duration &target, Range range);
    void readEndpoint(const std::string &key, Endpoint &target);
    /// Reads `processors`, `memory`, `slots` and `accelerators`, which is always optional.
    void readResources(Resources &target, Presence presence);
    /// Reads an optional list of strings, which must not be empty.
    void readStrings(const std::string &key, std::vector<std::string> &target);

    /// The map under \a key; empty if the key is absent.
    YamlSection child(const std::string &key);
    /// The maps in the list under \a key; empty if the key is absent.
    std::vector<YamlSection> children(const std::string &key);
    /// All keys with their values, for maps with arbitrary keys; marks them as read.
    std::vector<std::pair<std::string, YAML::Node>> entries();

    bool has(const std::string &key) const { return m_nodes.contains(key); }
    /// Dotted path of the field \a key.
    std::string fieldPath(const std::string &key) const;
    FindingCollector &findings() { return *m_findings; }
    /// Adds a finding for each key that was not read.
    void reportUnknownKeys();

private:
    void indexKeys(const YAML::Node &node);
    /// The scalar under \a key; nullopt, with a finding if it is required or no scalar.
    std::optional<YAML::Node> findScalar(const std::string &key, Presence presence,
                                         std::string_view expected);
    void readProcessors(std::int64_t &target, Presence presence);
    void readMemory(std::int64_t &target, Presence presence);

    std::string m_path;
    FindingCollector *m_findings;
    std::map<std::string, YAML::Node> m_nodes;
    std::vector<std::pair<std::string, YAML::Mark>> m_keys; ///< In file order.
    std::set<std::string> m_readKeys;
};

/// Parses \a text; on a syntax error, adds a finding and returns an empty node.
YAML::Node parseYaml(std::string_view text, FindingCollector &findings);

} // namespace firefly::internal
