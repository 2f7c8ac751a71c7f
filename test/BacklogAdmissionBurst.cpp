#include "fakes/BatchOverload.h"

#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace overload;

class BacklogAdmissionBurst : public testing::TestWithParam<Shape>
{
protected:
    Overload load{GetParam()};
};

TEST_P(BacklogAdmissionBurst, OfThreeTimesForSixSecondsLetsEachJobEndWhileItIsOfUse)
{
    load.run(0.5, 5s);
    load.run(3.0, 6s);
    load.run(0.5, 60s);
    for (const Job &it : load.jobs) {
        if (it.handedIn > load.now - 20s) {
            continue;
        }
        ASSERT_NE(it.accepted, TimePoint{}) << "four tries must span the burst";
        ASSERT_NE(it.end, TimePoint{});
        EXPECT_LE(it.end - it.accepted, load.shape.useful());
    }
}

INSTANTIATE_TEST_SUITE_P(, BacklogAdmissionBurst, testing::ValuesIn(Shapes));

} // namespace
} // namespace firefly
