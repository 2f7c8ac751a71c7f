#include "Entry/PlanUsage.h"

namespace firefly {

void PlanUsage::add(const Job &job)
{
    m_usageOfCustomer[job.spec.customer] += job.spec.resources;
}

void PlanUsage::subtract(const Job &job)
{
    const auto it = m_usageOfCustomer.find(job.spec.customer);
    if (it == m_usageOfCustomer.end()) {
        return;
    }
    it->second -= job.spec.resources;
    if (it->second == Resources{}) {
        m_usageOfCustomer.erase(it);
    }
}

Resources PlanUsage::ofPlan(const std::string &plan,
                            const std::map<std::string, std::string> &planOfCustomer) const
{
    Resources sum;
    for (const auto &[customer, amount] : m_usageOfCustomer) {
        const auto it = planOfCustomer.find(customer.value());
        if (it != planOfCustomer.end() && it->second == plan) {
            sum += amount;
        }
    }
    return sum;
}

} // namespace firefly
