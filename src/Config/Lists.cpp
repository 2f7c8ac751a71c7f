#include "Config/Lists.h"

#include "Config/Amounts.h"
#include "Config/Name.h"
#include "Config/YamlSection.h"

#include <set>

namespace firefly {
namespace {

using internal::AnyInteger;
using internal::FindingCollector;
using internal::Presence;
using internal::YamlSection;

constexpr std::size_t MaxCustomers = 10'000;
constexpr std::size_t MaxPlans = 1'000;
constexpr std::size_t MaxZones = 100;
constexpr std::int64_t MaxAmount = 1'000'000'000'000;
constexpr std::int64_t MaxWeight = 1'000;

/// Collects findings by field; the position in a file, if there is one, is added later.
class FieldFindings
{
public:
    void add(const std::string &field, const std::string &message)
    {
        m_findings.push_back(Finding{"", 1, 1, field, message});
    }
    std::vector<Finding> release() { return std::move(m_findings); }

private:
    std::vector<Finding> m_findings;
};

void checkAmount(const std::string &field, std::int64_t amount, FieldFindings &findings)
{
    if (amount < 0) {
        findings.add(field, "must not be negative");
    } else if (amount > MaxAmount) {
        findings.add(field, "is too large");
    }
}

void checkZones(const std::string &field, const std::vector<std::string> &zones,
                FieldFindings &findings)
{
    if (zones.size() > MaxZones) {
        findings.add(field, "has more than " + std::to_string(MaxZones) + " zones");
    }
    std::set<std::string> seen;
    for (const std::string &it : zones) {
        if (!isValidName(it)) {
            findings.add(field, std::string(NameRule));
        } else if (!seen.insert(it).second) {
            findings.add(field, "lists zone " + it + " twice");
        }
    }
}

void checkLimits(const std::string &plan, const PlanLimits &limits, FieldFindings &findings)
{
    const std::string field = "limits." + plan;
    if (!isValidName(plan)) {
        findings.add(field, std::string(NameRule));
    }
    checkAmount(field + ".processors", limits.resources.milliProcessors, findings);
    checkAmount(field + ".memory", limits.resources.memoryMiB, findings);
    checkAmount(field + ".accelerators", limits.resources.accelerators, findings);
    checkAmount(field + ".slots", limits.resources.slots, findings);
    checkAmount(field + ".urgentPerSecond", limits.urgentPerSecond, findings);
    if (limits.weight < 1 || limits.weight > MaxWeight) {
        findings.add(field + ".weight", "must be from 1 to " + std::to_string(MaxWeight));
    }
    checkZones(field + ".places", limits.zones, findings);
}

std::vector<Finding> validateList(const PlansList &list)
{
    FieldFindings findings;
    if (list.planOfCustomer.size() > MaxCustomers) {
        findings.add("plans", "has more than " + std::to_string(MaxCustomers) + " customers");
    }
    for (const auto &[customer, plan] : list.planOfCustomer) {
        if (!isValidName(customer) || !isValidName(plan)) {
            findings.add("plans." + customer, std::string(NameRule));
        }
    }
    return findings.release();
}

std::vector<Finding> validateList(const LimitsList &list)
{
    FieldFindings findings;
    if (list.limitsOfPlan.size() > MaxPlans) {
        findings.add("limits", "has more than " + std::to_string(MaxPlans) + " plans");
    }
    for (const auto &[plan, limits] : list.limitsOfPlan) {
        checkLimits(plan, limits, findings);
    }
    return findings.release();
}

/// A customer and its plan, which has no limits.
struct PlanWithoutLimits
{
    std::string customer;
    std::string plan;
};

std::vector<PlanWithoutLimits> plansWithoutLimits(const PlansList &plans, const LimitsList &limits)
{
    std::vector<PlanWithoutLimits> missing;
    for (const auto &[customer, plan] : plans.planOfCustomer) {
        if (!limits.limitsOfPlan.contains(plan)) {
            missing.push_back({customer, plan});
        }
    }
    return missing;
}

void appendFindings(FindingCollector &collector, const std::vector<Finding> &findings)
{
    for (const Finding &it : findings) {
        collector.add(it.field, it.message);
    }
}

void throwIfNotEmpty(const FindingCollector &findings)
{
    auto found = findings.sorted();
    if (!found.empty()) {
        throw ListError(std::move(found));
    }
}

/// Parses \a text and returns the map under its only top-level key, \a key.
YamlSection readListSection(std::string_view text, const std::string &key,
                            FindingCollector &findings)
{
    const YAML::Node node = internal::parseYaml(text, findings);
    throwIfNotEmpty(findings);
    YamlSection root(node, "", findings);
    if (!root.has(key)) {
        findings.add(key, "missing; expected a map");
    }
    YamlSection section = root.child(key);
    root.reportUnknownKeys();
    return section;
}

PlansList readPlans(YamlSection section)
{
    PlansList list;
    for (const auto &[customer, node] : section.entries()) {
        std::string plan;
        section.readString(customer, plan, Presence::Required);
        if (!plan.empty()) {
            list.planOfCustomer[customer] = plan;
        }
    }
    return list;
}

PlanLimits readPlanLimits(YamlSection section)
{
    PlanLimits limits;
    section.readResources(limits.resources, Presence::Required);
    section.readInteger("urgentPerSecond", limits.urgentPerSecond, AnyInteger);
    section.readInteger("weight", limits.weight, AnyInteger);
    section.readStrings("places", limits.zones);
    section.reportUnknownKeys();
    return limits;
}

LimitsList readLimits(YamlSection section)
{
    LimitsList list;
    for (const auto &[plan, node] : section.entries()) {
        if (!node.IsMap()) {
            section.findings().add(section.fieldPath(plan), "must be a map of the plan's limits");
            continue;
        }
        YamlSection item(node, section.fieldPath(plan), section.findings());
        list.limitsOfPlan[plan] = readPlanLimits(std::move(item));
    }
    return list;
}

/// Formats \a name as a quoted YAML scalar, so that no name is read as null.
std::string quote(const std::string &name)
{
    return "\"" + name + "\"";
}

std::string formatZones(const std::vector<std::string> &zones)
{
    std::string text;
    for (const std::string &it : zones) {
        text += (text.empty() ? "" : ", ") + quote(it);
    }
    return "[" + text + "]";
}

std::string formatLimits(const PlanLimits &limits)
{
    std::string text;
    text += "    processors: " + formatProcessors(limits.resources.milliProcessors) + "\n";
    text += "    memory: " + formatMemory(limits.resources.memoryMiB) + "\n";
    text += "    accelerators: " + std::to_string(limits.resources.accelerators) + "\n";
    text += "    slots: " + std::to_string(limits.resources.slots) + "\n";
    text += "    urgentPerSecond: " + std::to_string(limits.urgentPerSecond) + "\n";
    text += "    weight: " + std::to_string(limits.weight) + "\n";
    if (!limits.zones.empty()) {
        text += "    places: " + formatZones(limits.zones) + "\n";
    }
    return text;
}

} // namespace

PlansList parsePlans(std::string_view text, const std::string &file, const LimitsList *limits)
{
    FindingCollector findings(file);
    PlansList list = readPlans(readListSection(text, "plans", findings));
    appendFindings(findings, limits == nullptr ? validateList(list) : validate(list, *limits));
    throwIfNotEmpty(findings);
    return list;
}

LimitsList parseLimits(std::string_view text, const std::string &file, const PlansList *plans)
{
    FindingCollector findings(file);
    LimitsList list = readLimits(readListSection(text, "limits", findings));
    appendFindings(findings, plans == nullptr ? validateList(list) : validate(list, *plans));
    throwIfNotEmpty(findings);
    return list;
}

std::string toYaml(const PlansList &list)
{
    if (list.planOfCustomer.empty()) {
        return "plans: {}\n";
    }
    std::string text = "plans:\n";
    for (const auto &[customer, plan] : list.planOfCustomer) {
        text += "  " + quote(customer) + ": " + quote(plan) + "\n";
    }
    return text;
}

std::string toYaml(const LimitsList &list)
{
    if (list.limitsOfPlan.empty()) {
        return "limits: {}\n";
    }
    std::string text = "limits:\n";
    for (const auto &[plan, limits] : list.limitsOfPlan) {
        text += "  " + quote(plan) + ":\n" + formatLimits(limits);
    }
    return text;
}

std::vector<Finding> validate(const PlansList &list, const LimitsList &limits)
{
    std::vector<Finding> findings = validateList(list);
    for (const PlanWithoutLimits &it : plansWithoutLimits(list, limits)) {
        const std::string message = "plan " + it.plan + " has no limits; add them first";
        findings.push_back(Finding{"", 1, 1, "plans." + it.customer, message});
    }
    return findings;
}

std::vector<Finding> validate(const LimitsList &list, const PlansList &plans)
{
    std::vector<Finding> findings = validateList(list);
    for (const PlanWithoutLimits &it : plansWithoutLimits(plans, list)) {
        const std::string message = "removed, but customer " + it.customer + " holds this plan";
        findings.push_back(Finding{"", 1, 1, "limits." + it.plan, message});
    }
    return findings;
}

} // namespace firefly
