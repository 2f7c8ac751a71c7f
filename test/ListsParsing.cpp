#include "Config.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <iterator>
#include <string>
#include <vector>

using namespace firefly;

namespace {

constexpr std::string_view Gold = "limits: {gold: {processors: 2.5, memory: 64GiB, slots: 4}}";

/// "line field" of each finding that \a parse throws.
template <typename Parse>
std::vector<std::string> positionsOf(const Parse &parse)
{
    std::vector<std::string> positions;
    try {
        parse();
    } catch (const ListError &e) {
        for (const Finding &it : e.findings()) {
            EXPECT_EQ(it.file, "list.yaml");
            positions.push_back(std::to_string(it.line) + " " + it.field);
        }
    }
    return positions;
}

std::string readFile(const std::string &path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

} // namespace

TEST(ListsParsing, convertsTheUnitsOfLimits)
{
    const LimitsList list = parseLimits(
        "limits: {gold: {processors: 2.5, memory: 512, slots: 4, places: [kochi]}}", "list.yaml");

    const PlanLimits &gold = list.limitsOfPlan.at("gold");
    EXPECT_EQ(gold.resources, (Resources{2500, 512, 0, 4}));
    EXPECT_EQ(gold.zones, std::vector<std::string>{"kochi"});
}

TEST(ListsParsing, reportsAllErrorsOfTheLimitsAtOnce)
{
    const PlansList held{{{"kayal", "bronze"}}};
    const auto positions = positionsOf([&] {
        parseLimits(R"(limits:
  gold:
    processors: -1
    memory: 64GB
    slots: 4
    colour: yellow
  silver: {processors: 1, memory: 1GiB}
  silver: {processors: 1, memory: 1GiB, slots: 1}
  "no spaces": {processors: 1, memory: 1GiB, slots: 1, weight: 0}
  tin: {processors: 1, memory: 1GiB, slots: 1, places: [kochi, kochi]}
  iron: 5
  lead: {processors: nan, memory: 1GiB, slots: 1, places: []}
extra: 1
)",
                    "list.yaml", &held);
    });

    const std::vector<std::string> expected = {
        "1 limits.bronze", // Missing although a customer holds it.
        "3 limits.gold.processors",  "4 limits.gold.memory",  "6 limits.gold.colour",
        "7 limits.silver.slots",     "8 limits.silver",       "9 limits.no spaces",
        "9 limits.no spaces.weight", "10 limits.tin.places",  "11 limits.iron",
        "12 limits.lead.processors", "12 limits.lead.places", "13 extra",
    };
    EXPECT_EQ(positions, expected);
}

TEST(ListsParsing, reportsAllErrorsOfThePlansAtOnce)
{
    const LimitsList limits = parseLimits(Gold, "list.yaml");
    const auto positions = positionsOf([&] {
        parsePlans("plans:\n  a: gold\n  b: silver\n  c:\n  a: gold\n  d: [gold]\n", "list.yaml",
                   &limits);
    });

    const std::vector<std::string> expected = {"3 plans.b", "4 plans.c", "5 plans.a", "6 plans.d"};
    EXPECT_EQ(positions, expected);
    EXPECT_EQ(positionsOf([] { parsePlans("", "list.yaml"); }),
              std::vector<std::string>{"1 plans"});
}

TEST(ListsParsing, examplePlansMatchTheExampleLimits)
{
    const std::string folder = FIREFLY_CONFIG_DIR;
    const LimitsList limits = parseLimits(readFile(folder + "/limits.yaml"), "limits.yaml");
    const PlansList plans = parsePlans(readFile(folder + "/plans.yaml"), "plans.yaml", &limits);

    EXPECT_EQ(plans.planOfCustomer.at("spice-coast"), "charter-large");
    EXPECT_EQ(limits.limitsOfPlan.at("fieldwork").zones.size(), 3U);
}

RC_GTEST_PROP(ListsParsing, parsingTheFormattedListsRestoresThem, ())
{
    const auto amount = rc::gen::inRange<std::int64_t>(0, 1'000'000);
    LimitsList limits;
    PlansList plans;
    for (const std::string plan : {"gold", "null", "yes", "1e3", "-x"}) {
        if (*rc::gen::arbitrary<bool>()) {
            continue;
        }
        PlanLimits &value = limits.limitsOfPlan[plan];
        value.resources = Resources{*amount, *amount, *amount, *amount};
        value.weight = *rc::gen::inRange<std::int64_t>(1, 1000);
        if (*rc::gen::arbitrary<bool>()) {
            value.zones = {"null", "kochi"};
        }
        plans.planOfCustomer["customer-" + plan] = plan;
    }

    RC_ASSERT(parseLimits(toYaml(limits), "list.yaml", &plans) == limits);
    RC_ASSERT(parsePlans(toYaml(plans), "list.yaml", &limits) == plans);
}
