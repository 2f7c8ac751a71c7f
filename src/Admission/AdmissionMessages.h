#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"
#include "Core/Resources.h"

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace firefly {

/// An urgent request that asks for admission.
struct AdmissionRequest
{
    RequestId request;
    CustomerId customer;
    ServiceId service;
    Resources resources; ///< Held while the request runs.
    TimePoint deadline{};
};

/// Why a request was refused.
enum class RefusalReason : std::uint8_t {
    UnknownCustomer,  ///< No plan is listed for the customer, or the plan has no limits.
    PlanRate,         ///< The plan's limit of urgent requests per second is reached.
    PlanResources,    ///< The plan's resource limit is reached.
    DeadlineTooClose, ///< The expected service time exceeds the time left.
    Overload,         ///< No free capacity within the wait, or displaced from the full queue.
};

/// Name of \a reason in dumps and replies.
std::string_view toString(RefusalReason reason);

/// The request may be dispatched now; the caller passes this to AdmissionControl::finish() when it
/// ends.
struct Admitted
{
    RequestId request;
    PlanId plan; ///< Plan it counts against, even if the customer's plan changes meanwhile.
    ServiceId service;
    Resources resources;
};

/// The request waits for free capacity.  AdmissionControl::admitNext() or expire() returns its
/// outcome, or admit() in \a displaced, at \a expiresAt at the latest.
struct Queued
{
    TimePoint expiresAt{};
};

/// The request was refused and did not run.
struct Refused
{
    RequestId request;
    RefusalReason reason = RefusalReason::Overload;
    Duration retryAfter{};
};

/// Answer to an AdmissionRequest.
using Admission = std::variant<Admitted, Queued, Refused>;

/// Capacity that is free for urgent calls.
struct UrgentCapacity
{
    std::int64_t free = 0; ///< Lower bound of the urgent calls that still fit.
};

} // namespace firefly
