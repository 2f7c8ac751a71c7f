#pragma once

#include "Core/Id.h"
#include "Core/Resources.h"
#include "Jobs/Job.h"

#include <map>

namespace firefly {

/// Resources held by each customer's placed jobs in the whole cluster, according to the log.
class PlanUsage
{
public:
    /// Counts a job that was placed.
    void add(const Job &job);
    /// Removes a placed job that ended or was evicted.
    void subtract(const Job &job);
    void clear() { m_usageOfCustomer.clear(); }

    /// Sum over the customers that hold \a plan.  Linear in the customers with placed jobs.
    Resources ofPlan(const std::string &plan,
                     const std::map<std::string, std::string> &planOfCustomer) const;

private:
    std::map<CustomerId, Resources> m_usageOfCustomer;
};

} // namespace firefly
