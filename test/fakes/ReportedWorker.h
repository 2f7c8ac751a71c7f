#pragma once

#include "Cell/CellScheduler.h"
#include "fakes/CellWorld.h"
#include "Workload/JobRecords.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace firefly {

using namespace std::chrono_literals;

/// An owner whose orders the test answers, with one worker.
class ReportedWorker : public testing::Test
{
protected:
    ReportedWorker()
    {
        m_owner.setEvacuatedZones({});
        m_owner.beginOwnership(FencesPerEpoch, m_now, m_now);
        m_owner.finishRestore(m_now, UnixMs);
        m_description.id = m_worker;
        m_description.service = "svc";
        m_description.endpoint = {"10.0.0.1", 80};
        m_description.capacity = {8000, 64000, 0};
        m_description.incarnationStartUnixMs = 1;
        m_owner.onWorkerListed(m_description, m_now);
        run(100ms);
    }

    /// Advances the time by \a span; the journal's appends are stored at once, unless the store
    /// is down: then the ownership isn't renewed either.
    void run(Duration span)
    {
        constexpr Duration Step = 20ms;
        for (const TimePoint end = m_now + span; m_now < end; m_now += Step) {
            m_ordersUntil = m_isStoreDown ? m_ordersUntil : m_now + OrdersAfterRenewal;
            m_owner.setOrdersUntil(m_ordersUntil, m_ordersUntil - CellBounds::PreferredLease);
            m_owner.tick(m_now, UnixMs);
            for (const CellAction &it : m_owner.takeActions()) {
                if (const auto *renewal = std::get_if<RenewLease>(&it)) {
                    m_renewal = *renewal;
                } else if (const auto *start = std::get_if<StartTask>(&it)) {
                    m_starts.push_back(*start);
                }
            }
            while (const auto batch = m_owner.journal().next()) {
                m_owner.journal().onOutcome(m_isStoreDown ? AppendOutcome::Unknown
                                                          : AppendOutcome::Stored);
                if (m_isStoreDown) {
                    break;
                }
                for (const KeyedRecord &it : batch->records) {
                    m_store[it.key] = it.value;
                }
            }
        }
    }

    /// Answers the latest renewal, for the given incarnation of the worker.
    void report(std::int64_t clockMs, const std::vector<EndedRun> &ended = {},
                std::int64_t incarnation = 1, const std::vector<RunningTask> &running = {})
    {
        LeaseReport report;
        report.clockMs = clockMs;
        report.incarnationStartUnixMs = incarnation;
        report.ended = ended;
        report.running = running;
        report.fence = m_renewal.fence;
        m_owner.onLeaseReport(m_worker, OrderOutcome::Accepted, report, m_now, m_now, UnixMs);
    }

    void acceptStart(const StartTask &start, std::int64_t clockMs)
    {
        m_owner.onStartReply(m_worker, start.task, start.run,
                             {OrderOutcome::Accepted, clockMs, start.fence}, m_now);
    }

    /// Reports that \a start had no answer, and that a stop of its run was accepted.
    void acceptStopOfUnanswered(const StartTask &start)
    {
        m_owner.onStartReply(m_worker, start.task, start.run, {OrderOutcome::Unknown}, m_now);
        run(100ms);
        m_owner.onStopOutcome({m_worker, start.task, start.run, m_renewal.fence},
                              OrderOutcome::Accepted, m_now);
    }

    /// The record of the worker that the next owner would read; unset if there is none.
    std::optional<WorkerRecord> storedRecord() const
    {
        const auto it = m_store.find(JobRecords::workerKey(m_worker.value()));
        const bool isStored = it != m_store.end() && it->second;
        return isStored ? std::optional(JobRecords::decodeWorker(*it->second)) : std::nullopt;
    }

    /// Submits the job \a id.
    void submit(const char *id, const JobSpec &spec)
    {
        m_owner.submit(JobId(id), spec, m_now, UnixMs, [](CellScheduler::Verdict) {});
    }

    /// Lets the worker answer for the first time, and submits the job "a", whose first step starts.
    void startFirstJob(const JobSpec &spec = makeChain(1, 1))
    {
        report(100'000);
        run(100ms);
        submit("a", spec);
        run(100ms);
        ASSERT_EQ(m_starts.size(), spec.steps.front().taskCount);
    }

    /// Submits a job of \a count tasks; the end of the first one is reported and stored.
    void finishFirstTask(std::uint32_t count)
    {
        ASSERT_NO_FATAL_FAILURE(startFirstJob(makeChain(1, count)));
        run(100ms);
        acceptStart(m_starts[0], 100'300);
        report(100'400, {{1, m_starts[0].task, m_starts[0].run, RunEndReason::Done, {}}});
        run(1s);
    }

    static constexpr std::int64_t UnixMs = 1'000'000;
    /// As by CellElection::ordersUntil(): its timeout, and the longest lease that owners request.
    static constexpr Duration OrdersAfterRenewal = 2200ms + CellBounds::PreferredLease;
    const WorkerId m_worker{"w0"};
    WorkerDescription m_description;
    CellScheduler m_owner{CellBounds()};
    TimePoint m_now{100s};
    TimePoint m_ordersUntil{};
    bool m_isStoreDown = false;
    std::map<std::string, std::optional<std::string>> m_store;
    RenewLease m_renewal;
    std::vector<StartTask> m_starts;
};

} // namespace firefly
