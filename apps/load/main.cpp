#include "CallDriver.h"
#include "Checker.h"
#include "JobDriver.h"
#include "Records/Codec.h"
#include "Report.h"

#include <asio/io_context.hpp>
#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <optional>
#include <sstream>
#include <stdexcept>

namespace {

using namespace firefly;
using namespace firefly::load;

constexpr int ExitOk = 0;
constexpr int ExitViolation = 1;
constexpr int ExitUsage = 2;
constexpr Duration RecordsTimeout = std::chrono::seconds(30);
constexpr std::size_t MaxRecordsBytes = 1U << 30U;

constexpr const char *Usage =
    R"(Sends urgent calls and batch jobs to entries, then checks the replies against the workers' records.

Usage:
  firefly-load --entries LIST --workers LIST [--calls N] [--jobs N] [--cancel N] [--rate R]
               [--job-rate R] [--concurrency N] [--attempts N] [--deadline-ms MS]
               [--job-runtime-ms MS] [--job-wait-ms MS] [--kayal NAME] [--steekproef NAME]
               [--seed N] [--run NAME] [--json]

Options:
  --entries LIST       Client addresses of the entries, as ADDRESS:PORT,ADDRESS:PORT.
  --workers LIST       Addresses of the worker stand-ins, for their records.
  --calls N            Urgent requests [default: 1000].
  --jobs N             Batch jobs [default: 10].
  --cancel N           Jobs among them that are cancelled [default: 0].
  --rate R             Urgent requests a second [default: 200].
  --job-rate R         Batch jobs a second [default: 10].
  --concurrency N      Urgent requests in flight [default: 64].
  --attempts N         Attempts per request, retries included [default: 8].
  --deadline-ms MS     Deadline of an urgent request [default: 2000].
  --job-runtime-ms MS  Mean declared run time of a job [default: 3000].
  --job-wait-ms MS     Time until an unfinished job counts as missing [default: 120000].
  --kayal NAME         Customer of the rostering requests [default: malabar-air].
  --steekproef NAME    Customer of the sampling requests [default: audit-leuven].
  --seed N             Seed of the workload [default: 1].
  --run NAME           Makes identifiers unique; taken from the clock when absent.
  --json               Print the figures as JSON.

Exit code: 0 no violation, 1 a violation or an incomplete run, 2 wrong usage.
)";

using Arguments = std::map<std::string, docopt::value>;

std::vector<Endpoint> parseEndpoints(const std::string &list)
{
    std::vector<Endpoint> endpoints;
    std::stringstream stream(list);
    std::string text;
    while (std::getline(stream, text, ',')) {
        const auto colon = text.rfind(':');
        if (colon == std::string::npos) {
            throw std::invalid_argument("expected ADDRESS:PORT, got " + text);
        }
        const auto port = std::stoul(text.substr(colon + 1));
        endpoints.push_back({text.substr(0, colon), static_cast<std::uint16_t>(port)});
    }
    return endpoints;
}

std::size_t countOf(const Arguments &arguments, const char *name)
{
    const long number = arguments.at(name).asLong();
    if (number < 0) {
        throw std::invalid_argument(std::string(name) + " must not be negative");
    }
    return static_cast<std::size_t>(number);
}

double rateOf(const Arguments &arguments, const char *name)
{
    const double rate = std::stod(arguments.at(name).asString());
    if (rate <= 0) {
        throw std::invalid_argument(std::string(name) + " must be positive");
    }
    return rate;
}

Duration millisecondsOf(const Arguments &arguments, const char *name)
{
    return std::chrono::milliseconds(countOf(arguments, name));
}

LoadOptions toOptions(const Arguments &arguments)
{
    LoadOptions options;
    options.entries = parseEndpoints(arguments.at("--entries").asString());
    options.workers = parseEndpoints(arguments.at("--workers").asString());
    options.run = arguments.at("--run")
                      ? arguments.at("--run").asString()
                      : "r" + std::to_string(Clock::now().time_since_epoch().count());
    options.seed = countOf(arguments, "--seed");
    options.calls = countOf(arguments, "--calls");
    options.jobs = countOf(arguments, "--jobs");
    options.cancelledJobs = countOf(arguments, "--cancel");
    options.callsPerSecond = rateOf(arguments, "--rate");
    options.jobsPerSecond = rateOf(arguments, "--job-rate");
    options.concurrency = countOf(arguments, "--concurrency");
    options.maxAttempts = countOf(arguments, "--attempts");
    options.deadline = millisecondsOf(arguments, "--deadline-ms");
    options.jobRuntime = millisecondsOf(arguments, "--job-runtime-ms");
    options.jobWait = millisecondsOf(arguments, "--job-wait-ms");
    options.kayalCustomer = arguments.at("--kayal").asString();
    options.steekproefCustomer = arguments.at("--steekproef").asString();
    if (options.entries.empty() || options.concurrency == 0 || options.maxAttempts == 0) {
        throw std::invalid_argument(
            "--entries, --concurrency and --attempts must not be empty or 0");
    }
    return options;
}

/// Fetches the records of all workers that \a endpoint serves.
/// \throws std::runtime_error if the reply is missing or incomplete
std::vector<WorkerReport> fetchWorkerReports(asio::io_context &context, CurlLoop &loop,
                                             const Endpoint &endpoint)
{
    std::optional<HttpResult> result;
    HttpExchange exchange;
    exchange.url = baseUrl(endpoint) + "/records";
    exchange.timeout = RecordsTimeout;
    exchange.maxResponseBytes = MaxRecordsBytes;
    loop.start(std::move(exchange),
               [&result](HttpResult received) { result = std::move(received); });
    context.restart();
    while (!result) {
        context.run_one();
    }
    if (!result->isSuccess()) {
        throw std::runtime_error("no records from " + baseUrl(endpoint) + ": " + result->error);
    }
    std::vector<WorkerReport> reports;
    const auto records = nlohmann::json::parse(result->body);
    for (const auto &json : records.at("workers")) {
        reports.push_back({json.at("worker").get<std::string>(),
                           json.at("capacity").get<Resources>(),
                           json.get<standins::WorkerRecords>()});
    }
    return reports;
}

int run(const Arguments &arguments)
{
    const LoadOptions options = toOptions(arguments);
    asio::io_context context;
    CurlLoop loop(context);
    CallDriver calls(context, loop, options);
    JobDriver jobs(context, loop, options);
    calls.start();
    jobs.start();
    while (!calls.isDone() || !jobs.isDone()) {
        context.run_one();
    }
    std::vector<WorkerReport> reports;
    for (const Endpoint &endpoint : options.workers) {
        const auto endpointReports = fetchWorkerReports(context, loop, endpoint);
        reports.insert(reports.end(), endpointReports.begin(), endpointReports.end());
    }
    const auto violations = check(calls.traces(), jobs.traces(), reports);
    const auto summary = summarize(calls.traces(), jobs.traces(), reports, violations);
    if (arguments.at("--json").asBool()) {
        std::cout << summary.dump(2) << std::endl;
    } else {
        printTable(std::cout, summary);
    }
    return violations.empty() ? ExitOk : ExitViolation;
}

} // namespace

int main(int argc, char *argv[])
{
    const auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc}, true);
    try {
        return run(arguments);
    } catch (const std::invalid_argument &e) {
        std::cerr << "firefly-load: " << e.what() << std::endl;
        return ExitUsage;
    } catch (const std::exception &e) {
        std::cerr << "firefly-load: " << e.what() << std::endl;
        return ExitViolation;
    }
}
