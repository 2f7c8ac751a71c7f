/// \file Validates the limits and plans lists of the operators and prints all errors at once.

#include "Config.h"

#include <cstdlib>
#include <iostream>
#include <string_view>

namespace {

using namespace firefly;

constexpr std::string_view Limits = R"(limits:
  charter: {processors: 400, memory: 1600GiB, slots: 200, places: [kochi]}
  fieldwork: {processors: 600, memory: 2400GiB, slots: 300}
)";

constexpr std::string_view Plans = R"(plans:
  malabar-air: charter
  audit-leuven: fieldwork
)";

constexpr std::string_view FaultyLimits = R"(limits:
  charter: {processors: -1, memory: 1600GB, slots: 200}
  fieldwork: {processors: 600, memory: 2400GiB, slots: 300, colour: red}
)";

/// Parses \a limits and returns the number of findings, which it prints.
std::size_t countFindings(std::string_view limits, const PlansList &plans)
{
    try {
        parseLimits(limits, "limits.yaml", &plans);
    } catch (const ListError &e) {
        std::cout << toString(e.findings());
        return e.findings().size();
    }
    return 0;
}

} // namespace

int main()
{
    const LimitsList limits = parseLimits(Limits, "limits.yaml");
    const PlansList plans = parsePlans(Plans, "plans.yaml", &limits);
    std::cout << plans.planOfCustomer.size() << " customers hold a plan\n";

    const bool areValidListsAccepted = countFindings(Limits, plans) == 0;
    const bool areAllFaultsReported = countFindings(FaultyLimits, plans) == 3;
    return areValidListsAccepted && areAllFaultsReported ? EXIT_SUCCESS : EXIT_FAILURE;
}
