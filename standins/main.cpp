#include "Adapters/WorkerJson.h"
#include "HttpServer.h"
#include "LogService.h"
#include "VmListService.h"
#include "WorkerService.h"

#include <asio/signal_set.hpp>
#include <docopt/docopt.h>

#include <csignal>
#include <iostream>

namespace {

using namespace firefly;
using namespace firefly::standins;

constexpr const char *Usage =
    R"(Simulated platform services for development and tests; all state is in memory.

Usage:
  firefly-standin log [--listen ADDRESS] [--max-records N] [--max-age-ms MS]
  firefly-standin vms [--listen ADDRESS] [--lag-ms MS]
  firefly-standin workers --zone ZONE [--listen ADDRESS] [--count N] [--rack-size N]
                  [--milli-processors N] [--memory-mib N] [--accelerators N] [--slots N]
                  [--seed N]

Options:
  --listen ADDRESS      IP address and port [default: 127.0.0.1:7001].
  --max-records N       Most records that the log keeps [default: 1000000].
  --max-age-ms MS       Age up to which the log keeps records [default: 86400000].
  --lag-ms MS           Delay until readers see a change of the VM list [default: 500].
  --zone ZONE           Zone of the workers; worker N is named ZONE-wN.
  --count N             Number of workers [default: 8].
  --rack-size N         Workers per rack [default: 8].
  --milli-processors N  Capacity of each worker in thousandths of a processor [default: 32000].
  --memory-mib N        Memory of each worker in MiB [default: 128000].
  --accelerators N      Accelerators of each worker [default: 0].
  --slots N             Concurrent urgent calls of each worker [default: 8].
  --seed N              Seed of the jitter of call durations [default: 1].
)";

using Options = std::map<std::string, docopt::value>;

Endpoint parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("--listen needs ADDRESS:PORT, got " + text);
    }
    const auto port = std::stoul(text.substr(colon + 1));
    return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

std::vector<WorkerInfo> makeWorkers(const Options &options, const Endpoint &endpoint)
{
    const std::string zone = options.at("--zone").asString();
    const long rackSize = std::max(1L, options.at("--rack-size").asLong());
    const Resources capacity{options.at("--milli-processors").asLong(),
                             options.at("--memory-mib").asLong(),
                             options.at("--accelerators").asLong(), options.at("--slots").asLong()};
    std::vector<WorkerInfo> workers;
    for (long n = 1; n <= options.at("--count").asLong(); ++n) {
        const std::string rack = "r" + std::to_string((n - 1) / rackSize + 1);
        workers.push_back({WorkerId(zone + "-w" + std::to_string(n)), ZoneId(zone), rack, endpoint,
                           capacity, VmState::Live});
    }
    return workers;
}

template <typename Service>
void runService(asio::io_context &context, const Endpoint &endpoint, Service &service)
{
    const HttpServer server(context, endpoint,
                            [&service](const ServerRequest &request, const Responder &responder) {
                                service.handle(request, responder);
                            });
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](asio::error_code, int) { context.stop(); });
    std::cout << "listening on " << endpoint.address << ":" << endpoint.port << std::endl;
    context.run();
}

void runLog(asio::io_context &context, const Options &options, const Endpoint &endpoint)
{
    const auto maxRecords = static_cast<std::size_t>(options.at("--max-records").asLong());
    const std::chrono::milliseconds maxAge(options.at("--max-age-ms").asLong());
    LogService service(context, {maxRecords, maxAge});
    runService(context, endpoint, service);
}

void runVmList(asio::io_context &context, const Options &options, const Endpoint &endpoint)
{
    VmListService service(std::chrono::milliseconds(options.at("--lag-ms").asLong()));
    runService(context, endpoint, service);
}

void runWorkers(asio::io_context &context, const Options &options, const Endpoint &endpoint)
{
    const std::string boot = std::to_string(Clock::now().time_since_epoch().count());
    WorkerService service(context, makeWorkers(options, endpoint), boot,
                          static_cast<std::uint64_t>(options.at("--seed").asLong()));
    runService(context, endpoint, service);
}

void run(const Options &options)
{
    asio::io_context context;
    const Endpoint endpoint = parseEndpoint(options.at("--listen").asString());
    if (options.at("log").asBool()) {
        runLog(context, options, endpoint);
    } else if (options.at("vms").asBool()) {
        runVmList(context, options, endpoint);
    } else {
        runWorkers(context, options, endpoint);
    }
}

} // namespace

int main(int argc, char *argv[])
{
    const auto options = docopt::docopt(Usage, {argv + 1, argv + argc}, true);
    try {
        run(options);
        return 0;
    } catch (const std::exception &e) {
        std::cerr << "firefly-standin: " << e.what() << std::endl;
        return 2;
    }
}
