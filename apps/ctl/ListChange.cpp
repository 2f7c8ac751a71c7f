#include "ctl/ListChange.h"

#include "Config/Amounts.h"
#include "Config/Lists.h"

#include <yaml-cpp/yaml.h>

#include <utility>

namespace firefly::ctl {
namespace {

constexpr std::string_view VersionPrefix = "# version ";

/// Splits "KEY=VALUE".
std::pair<std::string, std::string> splitChange(const std::string &change)
{
    const std::size_t equals = change.find('=');
    if (equals == 0 || equals == std::string::npos) {
        throw InvalidInput("\"" + change + "\" is not of the form KEY=VALUE");
    }
    return {change.substr(0, equals), change.substr(equals + 1)};
}

} // namespace

std::string versionLine(Offset version)
{
    return std::string(VersionPrefix) + std::to_string(version) + "\n";
}

std::optional<Offset> versionOf(std::string_view yaml)
{
    if (!yaml.starts_with(VersionPrefix)) {
        return std::nullopt;
    }
    yaml.remove_prefix(VersionPrefix.size());
    const auto version = parseInteger(yaml.substr(0, yaml.find_first_of("\r\n ")));
    if (!version || *version < 0) {
        return std::nullopt;
    }
    return static_cast<Offset>(*version);
}

std::string applyPlanChanges(const std::string &yaml, std::span<const std::string> changes)
{
    PlansList list = parsePlans(yaml, "plans");
    for (const std::string &it : changes) {
        const auto [customer, plan] = splitChange(it);
        if (plan.empty()) {
            list.planOfCustomer.erase(customer);
            continue;
        }
        list.planOfCustomer[customer] = plan;
    }
    return toYaml(list);
}

std::string applyLimitChanges(const std::string &yaml, std::span<const std::string> changes)
{
    YAML::Node root = YAML::Load(yaml);
    YAML::Node limits = root["limits"];
    for (const std::string &it : changes) {
        const auto [key, value] = splitChange(it);
        if (value.empty()) {
            limits.remove(key);
            continue;
        }
        const std::size_t dot = key.rfind('.');
        if (dot == std::string::npos) {
            throw InvalidInput("\"" + it + "\" is not of the form PLAN.FIELD=VALUE");
        }
        limits[key.substr(0, dot)][key.substr(dot + 1)] = YAML::Load(value);
    }
    return YAML::Dump(root) + "\n";
}

} // namespace firefly::ctl
