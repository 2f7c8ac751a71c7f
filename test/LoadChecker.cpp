#include "Checker.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace firefly;
using namespace firefly::load;
using namespace firefly::standins;

namespace {

constexpr Resources Capacity{4000, 4000, 0, 2};

/// A correct run of one swap and one job; each test adds one fault.
class LoadChecker : public testing::Test
{
protected:
    LoadChecker()
    {
        call.call = {"c0", "swap", "malabar-air", "c0", R"({"request":"c0"})"};
        call.outcome = "answer";
        CallAttempt attempt;
        attempt.sentAt = TimePoint(Duration(100));
        attempt.outcome = "answer";
        attempt.status = 200;
        attempt.body = answerTo("c0");
        call.attempts = {attempt};
        job.job.key = "j0";
        job.id = "j0";
        job.state = "finished";
        job.result = "result of j0";
        worker.capacity = Capacity;
        worker.records.calls = {
            {"e.1", "c0", "swap", bodyHash(call.call.body), 150, 160, "answered"}};
        worker.records.tasks = {{"j0", 1, 7, 10, 20, 25, 0, 5, "stopped"},
                                {"j0", 2, 7, 30, 40, 45, 5, 9, "finished"}};
    }

    std::string answerTo(const std::string &id) const
    {
        return nlohmann::json{{"callerRequest", id},
                              {"bodyHash", bodyHash(call.call.body)},
                              {"customer", "malabar-air"},
                              {"service", "swap"}}
            .dump();
    }

    /// Rules that the run violates, in the order of the checks.
    std::vector<std::string> violatedRules() const
    {
        std::vector<std::string> rules;
        for (const Violation &violation : check({&call, 1}, {&job, 1}, {&worker, 1})) {
            rules.push_back(violation.rule);
        }
        return rules;
    }

    using Rules = std::vector<std::string>;

    CallTrace call;
    JobTrace job;
    WorkerReport worker;
};

} // namespace

TEST_F(LoadChecker, acceptsRunWithoutFault)
{
    EXPECT_EQ(violatedRules(), Rules{});
}

TEST_F(LoadChecker, findsMissingOutcome)
{
    call.outcome = "none";
    EXPECT_EQ(violatedRules(), Rules{"one outcome for each call"});
}

TEST_F(LoadChecker, findsAnswerOfAnotherRequest)
{
    call.attempts[0].body = answerTo("c1");
    EXPECT_EQ(violatedRules(), Rules{"the answer belongs to its request"});
}

TEST_F(LoadChecker, findsAnswerWithoutExecution)
{
    worker.records.calls.clear();
    EXPECT_EQ(violatedRules(), Rules{"an answer was executed"});
}

TEST_F(LoadChecker, findsSecondExecutionOfKey)
{
    worker.records.calls.push_back(worker.records.calls[0]);
    EXPECT_EQ(violatedRules(), Rules{"at most one execution of a key"});
}

TEST_F(LoadChecker, findsExecutionAfterNotRun)
{
    call.outcome = "not-run";
    call.attempts[0].outcome = "not-run";
    call.attempts[0].status = 503;
    EXPECT_EQ(violatedRules(), Rules{"what was not run did not run"});
}

TEST_F(LoadChecker, findsExecutionBeforeRetry)
{
    CallAttempt refused = call.attempts[0];
    refused.outcome = "not-run";
    call.attempts.insert(call.attempts.begin(), refused);
    call.attempts[1].sentAt = TimePoint(Duration(151));
    EXPECT_EQ(violatedRules(), Rules{"what was not run did not run"});
}

TEST_F(LoadChecker, findsOverlappingAttempts)
{
    worker.records.tasks[1].beginUs = 19;
    EXPECT_EQ(violatedRules(), Rules{"attempts of a job never overlap"});
}

TEST_F(LoadChecker, findsUnfinishedAttemptOverlappingAnother)
{
    worker.records.tasks[0].endUs = 0;
    worker.records.tasks[0].outcome = "running";
    EXPECT_EQ(violatedRules(), Rules{"attempts of a job never overlap"});
}

TEST_F(LoadChecker, findsStartAfterReportedFinish)
{
    worker.records.tasks[0].outcome = "finished";
    EXPECT_EQ(violatedRules(), Rules{"a job does not start again after its finish was reported"});
}

TEST_F(LoadChecker, acceptsRestartAfterUnreportedFinish)
{
    worker.records.tasks[0].outcome = "finished";
    worker.records.tasks[0].reportedUs = 0;
    EXPECT_EQ(violatedRules(), Rules{});
}

TEST_F(LoadChecker, findsFinishedJobWithoutExecution)
{
    worker.records.tasks.pop_back();
    EXPECT_EQ(violatedRules(), Rules{"a finished job was executed"});
}

TEST_F(LoadChecker, findsJobWithoutEnd)
{
    job.state = "placed";
    job.error = "not finished in time";
    EXPECT_EQ(violatedRules(), Rules{"every job ends"});
}

TEST_F(LoadChecker, findsExceededWorkerCapacity)
{
    worker.records.overrunAttempts = 1;
    worker.records.maxUse = {4001, 0, 0, 0};
    EXPECT_EQ(violatedRules(), (Rules{"no worker is given more than it holds",
                                      "no worker holds more than its capacity"}));
}
