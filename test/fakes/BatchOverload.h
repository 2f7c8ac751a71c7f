#pragma once

#include "Admission/BacklogAdmission.h"
#include "Admission/RetryAdvice.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <vector>

namespace firefly::overload {

using namespace std::chrono_literals;

inline constexpr TimePoint Begin{100s};
inline constexpr Duration Step = 50ms;
inline constexpr double Cores = 100.0;
inline constexpr double CoresPerJob = 4.0;
inline constexpr int MaxTries = 4;

/// Two steps in a row, and the objectives of the queue: twice the critical path and \a target.
struct Shape
{
    Duration stepTime{};
    Duration target{};

    double work() const { return CoresPerJob * std::chrono::duration<double>(path()).count(); }
    Duration path() const { return 2 * stepTime; }
    Duration objective() const { return 2 * path() + target; }
    Duration useful() const { return 3 * objective(); }
};

inline constexpr Shape Shapes[] = {{2200ms, 1s}, {250ms, 1s}};

struct Job
{
    TimePoint handedIn{};
    TimePoint nextTry{};
    TimePoint accepted{};
    TimePoint end{};
    double left = 0.0; ///< Core-seconds.
    int tries = 0;
};

/// Cores that serve jobs in the order of Placement: those that can be in time, by objective, then
/// the late ones, then those without a use.  Refused jobs come back when told, for four tries.
struct Overload
{
    explicit Overload(const Shape &shapeIn)
        : shape(shapeIn)
    {}

    bool isWaiting(const Job &job) const
    {
        return job.accepted != TimePoint{} && job.end == TimePoint{};
    }

    /// Hands in jobs of \a demand, a multiple of what the cores can serve, for \a span.
    void run(double demand, Duration span)
    {
        for (const TimePoint until = now + span; now < until; now += Step) {
            due += demand * Cores / shape.work() * std::chrono::duration<double>(Step).count();
            for (; due >= 1.0; due -= 1.0) {
                jobs.push_back({now, now});
            }
            for (std::size_t i = 0; i < jobs.size(); ++i) {
                if (jobs[i].accepted == TimePoint{} && jobs[i].tries < MaxTries
                    && jobs[i].nextTry <= now) {
                    submit(i);
                }
            }
            serve();
        }
    }

    void submit(std::size_t index)
    {
        Job &job = jobs[index];
        BacklogAdmission::Request request{shape.work(), 0.0, 0.0, shape.path()};
        request.objective = now + shape.objective();
        request.usefulUntil = now + shape.useful();
        request.spread = spreadOf(std::to_string(index));
        for (const Job &it : jobs) {
            if (isWaiting(it) && now <= it.accepted + shape.useful()) {
                request.ahead += it.left;
                request.inTimeAhead += canBeInTime(it) ? it.left : 0.0;
            }
        }
        const auto decision = admission.decide(request, now);
        ++job.tries;
        if (decision.isRefused()) {
            job.nextTry = now + decision.retryAfter;
            refusals.push_back(now);
            returns.push_back(job.nextTry);
            return;
        }
        job.accepted = now;
        job.left = shape.work();
    }

    bool canBeInTime(const Job &job) const
    {
        const auto path = std::chrono::duration<double>(job.left / CoresPerJob);
        return now + std::chrono::duration_cast<Duration>(path) <= job.accepted + shape.objective();
    }

    void serve()
    {
        std::vector<Job *> order;
        for (Job &it : jobs) {
            if (isWaiting(it)) {
                order.push_back(&it);
            }
        }
        std::ranges::stable_sort(order, {}, [this](const Job *it) {
            const bool isUseless = now > it->accepted + shape.useful();
            return std::tuple(isUseless, !canBeInTime(*it), it->accepted);
        });
        const double most = CoresPerJob * std::chrono::duration<double>(Step).count();
        double free = most * Cores / CoresPerJob;
        bool hasWaiting = false;
        for (Job *it : order) {
            const double before = it->left;
            const double given = std::min({most, free, it->left});
            hasWaiting = hasWaiting || given < std::min(most, it->left);
            free -= given;
            it->left -= given;
            const double half = shape.work() / 2;
            if (it->left < 1e-9 || (before > half && it->left <= half)) {
                admission.recordFinished(half, shape.stepTime, now);
            }
            it->end = it->left < 1e-9 ? now + Step : TimePoint{};
        }
        admission.setWaiting(hasWaiting, now);
    }

    Shape shape;
    BacklogAdmission admission;
    TimePoint now = Begin;
    std::vector<Job> jobs;
    std::vector<TimePoint> refusals;
    std::vector<TimePoint> returns; ///< Times that refused jobs were told, in this order.
    double due = 0.0;
};

} // namespace firefly::overload
