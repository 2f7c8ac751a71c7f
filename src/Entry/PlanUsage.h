#pragma once

#include "Core/Id.h"
#include "Core/Resources.h"
#include "Jobs/Job.h"

#include <map>

namespace firefly {

/// What each customer's placed jobs hold, over the whole cluster, as the log tells.
class PlanUsage
{
public:
    /// A job was placed.
    void add(const Job &job);
    /// A placed job ended or was evicted.
    void subtract(const Job &job);
    void clear() { m_ofCustomer.clear(); }

    /// Sum over the customers that hold \a plan.
    Resources ofPlan(const std::string &plan,
                     const std::map<std::string, std::string> &planOfCustomer) const;

private:
    std::map<CustomerId, Resources> m_ofCustomer;
};

} // namespace firefly
