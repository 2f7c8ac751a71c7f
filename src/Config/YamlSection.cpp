#include "Config/YamlSection.h"

#include "Config/Amounts.h"
#include "Config/EndpointText.h"

#include <stdexcept>

namespace firefly::internal {
namespace {

constexpr std::string_view QuotedTag = "!";

std::string describeRange(Range range)
{
    if (range.min == AnyInteger.min && range.max == AnyInteger.max) {
        return "";
    }
    return " from " + std::to_string(range.min) + " to " + std::to_string(range.max);
}

} // namespace

YamlSection::YamlSection(const YAML::Node &node, std::string path, FindingCollector &findings)
    : m_path(std::move(path))
    , m_findings(&findings)
{
    indexKeys(node);
}

void YamlSection::indexKeys(const YAML::Node &node)
{
    if (!node.IsDefined() || node.IsNull()) {
        return;
    }
    m_findings->setPosition(m_path, node.Mark());
    if (!node.IsMap()) {
        m_findings->add(m_path, "must be a map of fields");
        return;
    }
    for (const auto &it : node) {
        if (!it.first.IsScalar()) {
            m_findings->add(fieldPath("?"), "key must be a scalar", it.first.Mark());
            continue;
        }
        const std::string &key = it.first.Scalar();
        if (!m_nodes.emplace(key, it.second).second) {
            m_findings->add(fieldPath(key), "duplicate key", it.first.Mark());
            continue;
        }
        m_keys.emplace_back(key, it.first.Mark());
        m_findings->setPosition(fieldPath(key), it.first.Mark());
    }
}

std::optional<YAML::Node> YamlSection::findScalar(const std::string &key, Presence presence,
                                                  std::string_view expected)
{
    m_readKeys.insert(key);
    const auto it = m_nodes.find(key);
    if (it == m_nodes.end()) {
        if (presence == Presence::Required) {
            m_findings->add(fieldPath(key), "missing; expected " + std::string(expected));
        }
        return std::nullopt;
    }
    if (!it->second.IsScalar()) {
        m_findings->add(fieldPath(key), "expected " + std::string(expected));
        return std::nullopt;
    }
    return it->second;
}

void YamlSection::readString(const std::string &key, std::string &target, Presence presence)
{
    const auto node = findScalar(key, presence, "a string");
    if (!node) {
        return;
    }
    if (node->Scalar().empty()) {
        m_findings->add(fieldPath(key), "must not be empty");
        return;
    }
    target = node->Scalar();
}

void YamlSection::readBool(const std::string &key, bool &target)
{
    const auto node = findScalar(key, Presence::Optional, "true or false");
    if (!node) {
        return;
    }
    const bool isTrue = node->Scalar() == "true";
    if (node->Tag() == QuotedTag || (!isTrue && node->Scalar() != "false")) {
        m_findings->add(fieldPath(key), "expected true or false");
        return;
    }
    target = isTrue;
}

void YamlSection::readInteger(const std::string &key, std::int64_t &target, Range range,
                              Presence presence)
{
    const std::string expected = "a whole number" + describeRange(range);
    const auto node = findScalar(key, presence, expected);
    if (!node) {
        return;
    }
    const auto value = parseInteger(node->Scalar());
    if (node->Tag() == QuotedTag || !value || *value < range.min || *value > range.max) {
        m_findings->add(fieldPath(key), "expected " + expected);
        return;
    }
    target = *value;
}

void YamlSection::readNumber(const std::string &key, double &target, double min, double max)
{
    const auto node = findScalar(key, Presence::Optional, "a number");
    if (!node) {
        return;
    }
    const auto value = parseNumber(node->Scalar());
    if (!value || *value < min || *value > max) {
        m_findings->add(fieldPath(key), "expected a number from " + YAML::Dump(YAML::Node(min))
                                            + " to " + YAML::Dump(YAML::Node(max)));
        return;
    }
    target = *value;
}

void YamlSection::readMilliseconds(const std::string &key, Duration &target, Range range)
{
    std::int64_t value = std::chrono::duration_cast<std::chrono::milliseconds>(target).count();
    readInteger(key, value, range);
    target = std::chrono::milliseconds(value);
}

void YamlSection::readEndpoint(const std::string &key, Endpoint &target)
{
    const auto node = findScalar(key, Presence::Required, "\"IP:port\"");
    if (!node) {
        return;
    }
    try {
        target = parseEndpoint(node->Scalar());
    } catch (const std::invalid_argument &e) {
        m_findings->add(fieldPath(key), e.what());
    }
}

void YamlSection::readProcessors(std::int64_t &target, Presence presence)
{
    const auto node = findScalar("processors", presence, "a number such as 4 or 0.5");
    if (!node) {
        return;
    }
    const auto value = parseMilliProcessors(node->Scalar());
    if (!value) {
        m_findings->add(fieldPath("processors"), "expected a number such as 4 or 0.5");
        return;
    }
    target = *value;
}

void YamlSection::readMemory(std::int64_t &target, Presence presence)
{
    const auto node = findScalar("memory", presence, "an amount such as 64GiB or 512MiB");
    if (!node) {
        return;
    }
    const auto value = parseMemoryMiB(node->Scalar());
    if (!value) {
        m_findings->add(fieldPath("memory"), "expected an amount such as 64GiB, 512MiB or 512");
        return;
    }
    target = *value;
}

void YamlSection::readResources(Resources &target, Presence presence)
{
    readProcessors(target.milliProcessors, presence);
    readMemory(target.memoryMiB, presence);
    readInteger("accelerators", target.accelerators, AnyInteger);
    readInteger("slots", target.slots, AnyInteger, presence);
}

void YamlSection::readStrings(const std::string &key, std::vector<std::string> &target)
{
    m_readKeys.insert(key);
    const auto it = m_nodes.find(key);
    if (it == m_nodes.end()) {
        return;
    }
    if (!it->second.IsSequence() || it->second.size() == 0) {
        m_findings->add(fieldPath(key), "expected a list of at least one name");
        return;
    }
    for (const YAML::Node &item : it->second) {
        if (!item.IsScalar()) {
            m_findings->add(fieldPath(key), "expected a list of names", item.Mark());
            continue;
        }
        target.push_back(item.Scalar());
    }
}

YamlSection YamlSection::child(const std::string &key)
{
    m_readKeys.insert(key);
    const auto it = m_nodes.find(key);
    const YAML::Node node = it == m_nodes.end() ? YAML::Node() : it->second;
    return YamlSection(node, fieldPath(key), *m_findings);
}

std::vector<YamlSection> YamlSection::children(const std::string &key)
{
    m_readKeys.insert(key);
    const auto it = m_nodes.find(key);
    if (it == m_nodes.end() || it->second.IsNull()) {
        return {};
    }
    if (!it->second.IsSequence()) {
        m_findings->add(fieldPath(key), "expected a list");
        return {};
    }
    std::vector<YamlSection> sections;
    for (const YAML::Node &item : it->second) {
        const std::string path = fieldPath(key) + "." + std::to_string(sections.size());
        sections.emplace_back(item, path, *m_findings);
    }
    return sections;
}

std::vector<std::pair<std::string, YAML::Node>> YamlSection::entries()
{
    std::vector<std::pair<std::string, YAML::Node>> entries;
    for (const auto &[key, mark] : m_keys) {
        m_readKeys.insert(key);
        entries.emplace_back(key, m_nodes.at(key));
    }
    return entries;
}

std::string YamlSection::fieldPath(const std::string &key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

void YamlSection::reportUnknownKeys()
{
    for (const auto &[key, mark] : m_keys) {
        if (m_readKeys.contains(key)) {
            continue;
        }
        m_findings->add(fieldPath(key), "unknown key", mark);
    }
}

YAML::Node parseYaml(std::string_view text, FindingCollector &findings)
{
    try {
        return YAML::Load(std::string(text));
    } catch (const YAML::Exception &e) {
        findings.add("yaml", e.msg, e.mark);
        return YAML::Node();
    }
}

} // namespace firefly::internal
