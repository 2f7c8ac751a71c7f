#include "Ops/LogTimeline.h"

#include <gtest/gtest.h>

#include <sstream>
#include <string>
#include <vector>

namespace firefly {
namespace {

std::string line(const std::string &time, const std::string &process, const std::string &message,
                 const std::string &fields)
{
    return R"({"time":"2026-12-04T)" + time + R"(Z","process":")" + process + R"(","message":")"
           + message + R"(")" + (fields.empty() ? "" : "," + fields) + "}";
}

std::vector<std::string> linesOf(const std::string &text)
{
    std::vector<std::string> lines;
    std::istringstream in(text);
    for (std::string it; std::getline(in, it);) {
        lines.push_back(it);
    }
    return lines;
}

TEST(LogTimeline, MergesEventsOfOneJobFromAllProcessesInTimeOrder)
{
    LogTimeline timeline("00aa");
    timeline.add("front-2 | " + line("10:00:03.000", "front-2", "job failed", R"("job":"00aa")"));
    timeline.add(line("10:00:01.000", "front-1", "submit", R"("job":"00aa","verdict":"done")"));
    timeline.add(line("10:00:01.500", "front-1", "submit", R"("job":"00bb","verdict":"done")"));
    timeline.add(line("10:00:02.000", "front-2", "run failed",
                      R"("task":"00aa.0.1.2","worker":"w1","detail":"failures=1 of 1")"));
    const auto lines = linesOf(timeline.text(20));
    ASSERT_EQ(lines.size(), 3U);
    EXPECT_EQ(lines[0], "10:00:01.000Z front-1 submit verdict=done");
    EXPECT_EQ(lines[1], "10:00:02.000Z front-2 run failed detail=failures=1 of 1 task=00aa.0.1.2 "
                        "worker=w1");
    EXPECT_EQ(lines[2], "10:00:03.000Z front-2 job failed");
}

TEST(LogTimeline, IncludesContextAndEventsOfInvolvedWorkersOnly)
{
    LogTimeline timeline("00aa");
    timeline.add(line("09:00:00.000", "front-1", "owner serves", R"("epoch":3)"));
    timeline.add(line("09:30:00.000", "front-3", "store lost", ""));
    timeline.add(line("10:00:01.000", "front-1", "submit", R"("job":"00aa")"));
    timeline.add(line("10:00:02.000", "front-1", "renewal failed", R"("worker":"w1")"));
    timeline.add(line("10:00:02.100", "front-1", "renewal failed", R"("worker":"w2")"));
    timeline.add(line("10:00:03.000", "front-1", "lease over", R"("job":"00aa","worker":"w1")"));
    timeline.add(line("11:00:00.000", "front-3", "store lost", ""));
    const auto lines = linesOf(timeline.text(20));
    ASSERT_EQ(lines.size(), 4U);
    EXPECT_EQ(lines[0], "09:00:00.000Z front-1 owner serves epoch=3");
    EXPECT_EQ(lines[2], "10:00:02.000Z front-1 renewal failed worker=w1");
}

TEST(LogTimeline, OmitsMiddleEventsBeyondTheMaximum)
{
    LogTimeline timeline("00aa");
    for (int i = 10; i < 60; ++i) {
        timeline.add(line("10:00:" + std::to_string(i) + ".000", "front-1", "start refused",
                          R"("job":"00aa")"));
    }
    const auto lines = linesOf(timeline.text(10));
    ASSERT_EQ(lines.size(), 11U);
    EXPECT_EQ(lines[5], "... 40 lines left out");
}

TEST(LogTimeline, CountsUnreadableLines)
{
    LogTimeline timeline("00aa");
    timeline.add("Segmentation fault");
    timeline.add(R"({"time":"2026-12-04T10:00:01.000Z"})");
    timeline.add("{broken");
    EXPECT_EQ(timeline.unreadableLines(), 3U);
    EXPECT_EQ(timeline.text(10), "");
}

} // namespace
} // namespace firefly
