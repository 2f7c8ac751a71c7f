#include "bench/policy/Scenario.h"

#include "bench/policy/HiddenEffects.h"

namespace firefly::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Scenario noise(const Site &site)
{
    Scenario it{.name = "noise", .site = site};
    it.noisyWaves = {{seconds(30), seconds(45)}, {seconds(75), seconds(90)}};
    it.loadShift = {seconds(80), seconds(110)};
    it.effectShift = {seconds(100), seconds(150)};
    return it;
}

Scenario failingWorker(const Site &site)
{
    Scenario it{.name = "failing-worker", .site = site};
    it.length = seconds(120);
    it.failingWorker = {seconds(40), seconds(70)};
    return it;
}

Scenario slowLink(const Site &site)
{
    Scenario it{.name = "slow-link", .site = site};
    it.length = seconds(100);
    it.slowLink = {seconds(30), seconds(90)};
    return it;
}

Scenario zoneLoss(const Site &site)
{
    Scenario it{.name = "zone-loss", .site = site};
    it.length = seconds(100);
    it.lostZone = {seconds(40), seconds(100)};
    return it;
}

Scenario overload(const Site &site)
{
    Scenario it{.name = "overload", .site = site};
    it.length = seconds(40);
    it.warmUp = seconds(10);
    it.urgentLoad = 2 / FullWorkerSlowdown;
    it.batchLoad = 0;
    return it;
}

} // namespace

std::vector<Scenario> makeScenarios(const std::string &filter)
{
    const Site kayal{"kayal", 50, milliseconds(6), 0.8};
    const Site steekproef{"steekproef", 65, milliseconds(10), 0.7};
    std::vector<Scenario> all;
    for (const Site &site : {kayal, steekproef}) {
        for (const auto &make : {noise, failingWorker, slowLink, zoneLoss, overload}) {
            Scenario it = make(site);
            it.name = site.name + "-" + it.name;
            if (it.name.find(filter) != std::string::npos) {
                all.push_back(std::move(it));
            }
        }
    }
    return all;
}

} // namespace firefly::bench
