#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"
#include "Core/Resources.h"

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace firefly {

/// An urgent request that asks to run.
struct AdmissionRequest
{
    RequestId request;
    CustomerId customer;
    ServiceId service;
    Resources resources; ///< What it will hold while it runs.
    TimePoint deadline{};
};

/// Why a request was refused.
enum class RefusalReason : std::uint8_t {
    UnknownCustomer,  ///< No plan is listed for the customer, or the plan has no limits.
    PlanRate,         ///< The plan's urgent requests a second are used up.
    PlanResources,    ///< The plan already holds all it may use.
    DeadlineTooClose, ///< It could not have been answered in time.
    Overload,         ///< No room, and others have a better claim to the next.
};

/// Short name of \a reason for dumps and replies.
std::string_view toString(RefusalReason reason);

/// The request may be dispatched now; the caller hands this back to AdmissionControl::finish().
struct Admitted
{
    RequestId request;
    PlanId plan; ///< The plan it counts against, also when the customer's plan changes meanwhile.
    ServiceId service;
    Resources resources;
};

/// The request waits for room; an outcome follows from next() or expire(), at the latest \a until.
struct Queued
{
    TimePoint until{};
};

/// The request surely did not run.
struct Refused
{
    RequestId request;
    RefusalReason reason = RefusalReason::Overload;
    Duration retryAfter{};
};

/// Answer to an AdmissionRequest.
using Admission = std::variant<Admitted, Queued, Refused>;

/// What the owner can take right now.
struct UrgentRoom
{
    std::int64_t free = 0; ///< At least so many urgent calls still fit.
};

} // namespace firefly
