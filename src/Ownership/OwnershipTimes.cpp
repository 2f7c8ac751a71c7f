#include "Ownership/OwnershipTimes.h"

#include <string>

namespace firefly {

void OwnershipTimes::check() const
{
    std::string findings;
    const auto require = [&](bool holds, const char *finding) {
        if (holds) {
            return;
        }
        findings += findings.empty() ? "" : "; ";
        findings += finding;
    };
    require(holdOff > proofDuration + drift, "holdOff must be longer than proofDuration + drift");
    require(proofDuration > Duration::zero(), "proofDuration must be positive");
    require(drift >= Duration::zero(), "drift must not be negative");
    require(syncTimeout > Duration::zero(), "syncTimeout must be positive");
    require(renewEvery > Duration::zero(), "renewEvery must be positive");
    require(lease > renewEvery + syncTimeout, "lease must be longer than renewEvery + syncTimeout");
    if (!findings.empty()) {
        throw OwnershipTimesError("ownership times: " + findings);
    }
}

} // namespace firefly
