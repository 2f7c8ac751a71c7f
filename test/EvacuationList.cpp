#include "Fleet/EvacuationList.h"

#include "platform/Wire.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

using Change = EvacuationList::Change;
using Zones = std::set<std::string>;

TEST(EvacuationList, ARequestBeginsAnEvacuationAndItsWithdrawalEndsIt)
{
    EvacuationList list;
    EXPECT_EQ(list.apply("a", true, TimePoint(1s)), (Change{"a", true, TimePoint(1s)}));
    EXPECT_EQ(list.zones(), Zones{"a"});
    EXPECT_EQ(list.apply("a", false, TimePoint(9s)), (Change{"a", false, TimePoint(1s)}));
    EXPECT_EQ(list.zones(), Zones{});
}

TEST(EvacuationList, ARepeatedRequestChangesNothing)
{
    EvacuationList list;
    EXPECT_EQ(list.apply("a", false, TimePoint(1s)), std::nullopt);
    list.apply("a", true, TimePoint(2s));
    EXPECT_EQ(list.apply("a", true, TimePoint(3s)), std::nullopt);
    EXPECT_EQ(list.begins().at("a"), TimePoint(2s));
}

TEST(EvacuationList, TwoZonesAreIndependent)
{
    EvacuationList list;
    list.apply("a", true, TimePoint(1s));
    list.apply("b", true, TimePoint(2s));
    list.apply("a", false, TimePoint(3s));
    EXPECT_EQ(list.zones(), Zones{"b"});
}

TEST(EvacuationList, AZoneThatIsRequestedAgainIsEvacuatedAnew)
{
    EvacuationList list;
    list.apply("a", true, TimePoint(1000ms));
    list.apply("a", false, TimePoint(1500ms));
    EXPECT_EQ(list.apply("a", true, TimePoint(1900ms)), (Change{"a", true, TimePoint(1900ms)}));
    EXPECT_EQ(list.zones(), Zones{"a"});
}

TEST(EvacuationList, ASnapshotWithoutARequestEndsIt)
{
    EvacuationList list;
    list.apply("a", true, TimePoint(1s));
    list.apply("b", true, TimePoint(2s));
    EXPECT_EQ(list.retain({"b"}), std::vector{(Change{"a", false, TimePoint(1s)})});
    EXPECT_EQ(list.zones(), Zones{"b"});
    EXPECT_EQ(list.retain({"b"}), std::vector<Change>{});
}

TEST(EvacuationList, OnlyTheKeyOfARequestNamesAZone)
{
    EXPECT_EQ(platform::evacuatedZone("evacuate/eu-1"), "eu-1");
    for (const char *key : {"config", "evacuate", "evacuate/", "evacuated/eu-1", ""}) {
        EXPECT_EQ(platform::evacuatedZone(key), std::nullopt) << key;
    }
}

} // namespace
} // namespace firefly
