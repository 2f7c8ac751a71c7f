#include "Admission/RetryAdvice.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Begin{100s};
constexpr int MaxTries = 4;

/// Last try of the client \a key with a first try \a first after the start of the outage.
TimePoint lastTry(RetryAdvice &retries, const std::string &key, Duration first)
{
    TimePoint at = Begin + first;
    for (int i = 1; i < MaxTries; ++i) {
        retries.onFailure(at);
        at += retries.delayFor(key, at);
    }
    return at;
}

TEST(RetryAdvice, FourTriesSpanAStoreThatIsAwayForSixSeconds)
{
    for (int i = 0; i < 1000; ++i) {
        for (Duration first = 0ms; first < 6s; first += 200ms) {
            RetryAdvice retries(RetryAdvice::RefusedAtOnce);
            retries.onFailure(Begin);
            EXPECT_GT(lastTry(retries, std::to_string(i), first), Begin + 6s);
        }
    }
}

TEST(RetryAdvice, TheFirstAdviceIsOneSecond)
{
    RetryAdvice retries(RetryAdvice::RefusedAtOnce);
    EXPECT_EQ(retries.delayFor("a", Begin), 1s);
    retries.onFailure(Begin);
    EXPECT_EQ(retries.delayFor("a", Begin), 1s);
    retries.onFailure(Begin + 5s);
    EXPECT_GT(retries.delayFor("a", Begin + 5s), 1s);
    retries.onSuccess();
    EXPECT_EQ(retries.delayFor("a", Begin + 5s), 1s);
}

TEST(RetryAdvice, AFailureLongAfterTheLastBeginsANewOutage)
{
    RetryAdvice retries(RetryAdvice::RefusedAtOnce);
    retries.onFailure(Begin);
    retries.onFailure(Begin + 60s);
    EXPECT_EQ(retries.delayFor("a", Begin + 60s), 1s);
}

// Clients that were all refused at one moment of an outage return over several seconds.
TEST(RetryAdvice, AfterAnOutageClientsReturnSpreadOut)
{
    constexpr int Clients = 1000;
    RetryAdvice retries(RetryAdvice::RefusedAtOnce);
    retries.onFailure(Begin);
    std::vector<int> returnsInSecond(10);
    for (int i = 0; i < Clients; ++i) {
        const Duration delay = retries.delayFor(std::to_string(i), Begin + 3s);
        ++returnsInSecond[static_cast<std::size_t>(delay / 1s)];
    }
    EXPECT_LE(std::ranges::max(returnsInSecond), Clients / 2);
}

} // namespace
} // namespace firefly
