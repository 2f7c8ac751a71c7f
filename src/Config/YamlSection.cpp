#include "Config/YamlSection.h"

#include "Config/Amounts.h"
#include "Config/EndpointText.h"

#include <stdexcept>

namespace firefly::internal {
namespace {

constexpr std::string_view QuotedTag = "!";

std::string describe(Range range)
{
    if (range.least == AnyInteger.least && range.most == AnyInteger.most) {
        return "";
    }
    return " from " + std::to_string(range.least) + " to " + std::to_string(range.most);
}

} // namespace

YamlSection::YamlSection(const YAML::Node &node, std::string path, FindingCollector &findings)
    : m_path(std::move(path))
    , m_findings(&findings)
{
    index(node);
}

void YamlSection::index(const YAML::Node &node)
{
    if (!node.IsDefined() || node.IsNull()) {
        return;
    }
    m_findings->place(m_path, node.Mark());
    if (!node.IsMap()) {
        m_findings->add(m_path, "must be a map of fields");
        return;
    }
    for (const auto &it : node) {
        if (!it.first.IsScalar()) {
            m_findings->add(pathOf("?"), "key must be a name", it.first.Mark());
            continue;
        }
        const std::string &key = it.first.Scalar();
        if (!m_nodes.emplace(key, it.second).second) {
            m_findings->add(pathOf(key), "duplicate key", it.first.Mark());
            continue;
        }
        m_keys.emplace_back(key, it.first.Mark());
        m_findings->place(pathOf(key), it.first.Mark());
    }
}

std::optional<YAML::Node> YamlSection::scalar(const std::string &key, Need need,
                                              std::string_view expected)
{
    m_used.insert(key);
    const auto it = m_nodes.find(key);
    if (it == m_nodes.end()) {
        if (need == Need::Required) {
            m_findings->add(pathOf(key), "missing; expected " + std::string(expected));
        }
        return std::nullopt;
    }
    if (!it->second.IsScalar()) {
        m_findings->add(pathOf(key), "expected " + std::string(expected));
        return std::nullopt;
    }
    return it->second;
}

void YamlSection::text(const std::string &key, std::string &target, Need need)
{
    const auto node = scalar(key, need, "a text");
    if (!node) {
        return;
    }
    if (node->Scalar().empty()) {
        m_findings->add(pathOf(key), "must not be empty");
        return;
    }
    target = node->Scalar();
}

void YamlSection::flag(const std::string &key, bool &target)
{
    const auto node = scalar(key, Need::Optional, "true or false");
    if (!node) {
        return;
    }
    const bool isTrue = node->Scalar() == "true";
    if (node->Tag() == QuotedTag || (!isTrue && node->Scalar() != "false")) {
        m_findings->add(pathOf(key), "expected true or false");
        return;
    }
    target = isTrue;
}

void YamlSection::integer(const std::string &key, std::int64_t &target, Range range, Need need)
{
    const std::string expected = "a whole number" + describe(range);
    const auto node = scalar(key, need, expected);
    if (!node) {
        return;
    }
    const auto value = parseInteger(node->Scalar());
    if (node->Tag() == QuotedTag || !value || *value < range.least || *value > range.most) {
        m_findings->add(pathOf(key), "expected " + expected);
        return;
    }
    target = *value;
}

void YamlSection::number(const std::string &key, double &target, double least, double most)
{
    const auto node = scalar(key, Need::Optional, "a number");
    if (!node) {
        return;
    }
    const auto value = parseNumber(node->Scalar());
    if (!value || *value < least || *value > most) {
        m_findings->add(pathOf(key), "expected a number from " + YAML::Dump(YAML::Node(least))
                                         + " to " + YAML::Dump(YAML::Node(most)));
        return;
    }
    target = *value;
}

void YamlSection::milliseconds(const std::string &key, Duration &target, Range range)
{
    std::int64_t value = std::chrono::duration_cast<std::chrono::milliseconds>(target).count();
    integer(key, value, range);
    target = std::chrono::milliseconds(value);
}

void YamlSection::endpoint(const std::string &key, Endpoint &target)
{
    const auto node = scalar(key, Need::Required, "\"IP:port\"");
    if (!node) {
        return;
    }
    try {
        target = parseEndpoint(node->Scalar());
    } catch (const std::invalid_argument &e) {
        m_findings->add(pathOf(key), e.what());
    }
}

void YamlSection::processors(std::int64_t &target, Need need)
{
    const auto node = scalar("processors", need, "a number such as 4 or 0.5");
    if (!node) {
        return;
    }
    const auto value = parseMilliProcessors(node->Scalar());
    if (!value) {
        m_findings->add(pathOf("processors"), "expected a number such as 4 or 0.5");
        return;
    }
    target = *value;
}

void YamlSection::memory(std::int64_t &target, Need need)
{
    const auto node = scalar("memory", need, "an amount such as 64GiB or 512MiB");
    if (!node) {
        return;
    }
    const auto value = parseMemoryMiB(node->Scalar());
    if (!value) {
        m_findings->add(pathOf("memory"), "expected an amount such as 64GiB, 512MiB or 512");
        return;
    }
    target = *value;
}

void YamlSection::resources(Resources &target, Need need)
{
    processors(target.milliProcessors, need);
    memory(target.memoryMiB, need);
    integer("accelerators", target.accelerators, AnyInteger);
    integer("slots", target.slots, AnyInteger, need);
}

void YamlSection::texts(const std::string &key, std::vector<std::string> &target)
{
    m_used.insert(key);
    const auto it = m_nodes.find(key);
    if (it == m_nodes.end()) {
        return;
    }
    if (!it->second.IsSequence() || it->second.size() == 0) {
        m_findings->add(pathOf(key), "expected a list of at least one name");
        return;
    }
    for (const YAML::Node &item : it->second) {
        if (!item.IsScalar()) {
            m_findings->add(pathOf(key), "expected a list of names", item.Mark());
            continue;
        }
        target.push_back(item.Scalar());
    }
}

YamlSection YamlSection::child(const std::string &key)
{
    m_used.insert(key);
    const auto it = m_nodes.find(key);
    const YAML::Node node = it == m_nodes.end() ? YAML::Node() : it->second;
    return YamlSection(node, pathOf(key), *m_findings);
}

std::vector<YamlSection> YamlSection::children(const std::string &key)
{
    m_used.insert(key);
    const auto it = m_nodes.find(key);
    if (it == m_nodes.end() || it->second.IsNull()) {
        return {};
    }
    if (!it->second.IsSequence()) {
        m_findings->add(pathOf(key), "expected a list");
        return {};
    }
    std::vector<YamlSection> sections;
    for (const YAML::Node &item : it->second) {
        const std::string path = pathOf(key) + "." + std::to_string(sections.size());
        sections.emplace_back(item, path, *m_findings);
    }
    return sections;
}

std::vector<std::pair<std::string, YAML::Node>> YamlSection::entries()
{
    std::vector<std::pair<std::string, YAML::Node>> entries;
    for (const auto &[key, mark] : m_keys) {
        m_used.insert(key);
        entries.emplace_back(key, m_nodes.at(key));
    }
    return entries;
}

std::string YamlSection::pathOf(const std::string &key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

void YamlSection::finish()
{
    for (const auto &[key, mark] : m_keys) {
        if (m_used.contains(key)) {
            continue;
        }
        m_findings->add(pathOf(key), "unknown key", mark);
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
