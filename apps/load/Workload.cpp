#include "Workload.h"

#include <nlohmann/json.hpp>

#include <random>

namespace firefly::load {
namespace {

constexpr std::size_t LargeAnswerBytes = 65536;
constexpr double LargeAnswerShare = 0.02;
constexpr double LegalityShare = 0.5;
constexpr double SwapShare = 0.25;

std::string requestBody(const PlannedCall &call, bool isLarge)
{
    nlohmann::json body = {{"customer", call.customer}, {"request", call.id}};
    if (isLarge) {
        body["answerBytes"] = LargeAnswerBytes;
    }
    return body.dump();
}

} // namespace

std::vector<PlannedCall> planCalls(const LoadOptions &options)
{
    std::mt19937_64 random(options.seed);
    std::uniform_real_distribution<double> share(0.0, 1.0);
    std::vector<PlannedCall> calls;
    for (std::size_t n = 0; n < options.calls; ++n) {
        PlannedCall call;
        const double draw = share(random);
        const bool isLegality = draw < LegalityShare;
        const bool isSwap = !isLegality && draw < LegalityShare + SwapShare;
        call.id = options.run + "-c" + std::to_string(n);
        call.service = isLegality ? "legality-check" : (isSwap ? "swap" : "quick-draw");
        call.customer = isLegality || isSwap ? options.kayalCustomer : options.steekproefCustomer;
        call.key = isLegality ? "" : call.id;
        call.body = requestBody(call, share(random) < LargeAnswerShare);
        calls.push_back(std::move(call));
    }
    return calls;
}

std::vector<PlannedJob> planJobs(const LoadOptions &options)
{
    std::mt19937_64 random(options.seed + 1);
    std::uniform_real_distribution<double> runtimeFactor(0.5, 1.5);
    std::uniform_int_distribution<std::int64_t> processors(1, 4);
    const double runtimeMs = static_cast<double>(options.jobRuntime.count()) / 1000.0;
    std::vector<PlannedJob> jobs;
    for (std::size_t n = 0; n < options.jobs; ++n) {
        PlannedJob job;
        const bool isRebuild = n % 2 == 0;
        job.key = options.run + "-j" + std::to_string(n);
        job.kind = isRebuild ? "rebuild" : "stratified-run";
        job.customer = isRebuild ? options.kayalCustomer : options.steekproefCustomer;
        const std::int64_t processorCount = processors(random);
        job.resources = {processorCount * 1000, processorCount * 2048, 0, 0};
        job.runtimeMs = static_cast<std::int64_t>(runtimeMs * runtimeFactor(random));
        job.isCancelled = n < options.cancelledJobs;
        jobs.push_back(std::move(job));
    }
    return jobs;
}

} // namespace firefly::load
