#pragma once

#include "Adapters/CurlLoop.h"
#include "SoakFleet.h"
#include "Workload/JobSpec.h"

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace firefly::soak {

/// Clients that submit, watch and cancel jobs at any process, and what they were told.
class SoakCallers
{
public:
    SoakCallers(asio::io_context &context, SoakFleet &fleet, std::uint64_t seed);

    /// Submits new jobs until stopSubmitting().
    void start();
    void stopSubmitting() { m_isSubmitting = false; }
    /// True once every job that must end has ended, as its client was shown.
    bool isSettled() const;
    /// Adds to the audit what clients were promised and didn't get.
    void checkPromises();
    std::string summary() const;

private:
    /// One job of a client.
    struct Order
    {
        JobId id;
        JobSpec spec;
        bool isAccepted = false;
        bool isRejected = false;  ///< Given up after rejections only.
        bool isUncertain = false; ///< Some submission had no clear answer.
        int attempts = 0;
        TimePoint acceptedAt{};
        TimePoint cancelAt{}; ///< Zero for a job that is never cancelled.
        TimePoint canceledAt{};
        std::optional<JobState> shown;
        bool isAsking = false; ///< A request is under way.
        TimePoint nextAt{};
    };

    void tick();
    void submitNew(TimePoint now);
    JobSpec drawJob();
    void act(Order &order, TimePoint now);
    void submit(Order &order);
    void query(Order &order);
    void cancel(Order &order);
    void takeState(Order &order, const HttpResult &result);
    void send(Order &order, const char *method, std::string body,
              std::function<void(const HttpResult &)> take);
    void checkShown(const Order &order);
    void checkCanceled(TimePoint now);
    bool isOwed(const Order &order) const;
    void violate(const std::string &what, const Order &order);

    asio::io_context &m_context;
    SoakFleet &m_fleet;
    std::mt19937_64 m_random;
    CurlLoop m_curl;
    asio::basic_waitable_timer<Clock> m_timer;
    std::map<std::string, std::unique_ptr<Order>> m_orders; ///< By job.
    TimePoint m_nextJob{};
    bool m_isSubmitting = true;
};

} // namespace firefly::soak
