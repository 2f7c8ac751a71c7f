#include "Admission/AdmissionMessages.h"

namespace firefly {

std::string_view toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::UnknownCustomer:
        return "unknown-customer";
    case RefusalReason::PlanRate:
        return "plan-rate";
    case RefusalReason::PlanResources:
        return "plan-resources";
    case RefusalReason::DeadlineTooClose:
        return "deadline-too-close";
    case RefusalReason::Overload:
        break;
    }
    return "overload";
}

} // namespace firefly
