#pragma once

#include "fakes/CellAudit.h"
#include "fakes/FakeCellWorker.h"
#include "Fleet/RouteTable.h"
#include "LinkProxy.h"
#include "NodeProcess.h"
#include "platform/standins/StoreStandin.h"
#include "platform/standins/WorkerStandin.h"

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace firefly::soak {

/// Parameters of one soak.
struct SoakOptions
{
    std::string program; ///< The fireflynode to run.
    std::filesystem::path directory;
    std::uint64_t seed = 1;
    int nodes = 3;
    int workers = 6;
    int cells = 2;
    bool hasLateRequests = false; ///< Workers also restart behind links that hold requests.
    Duration faultPeriod = std::chrono::seconds(15);     ///< Time during which faults are injected.
    Duration settlingTimeout = std::chrono::seconds(25); ///< Time for all jobs to end afterwards.
};

/// One scheduler process with its links to the clients and the store.
struct SoakNode
{
    NodeSettings settings;
    std::filesystem::path settingsFile;
    std::unique_ptr<LinkProxy> callers; ///< From the clients.
    std::unique_ptr<LinkProxy> store;   ///< To the store.
    std::unique_ptr<NodeProcess> process;
    Endpoint callersEndpoint;
    TimePoint terminatedAt{}; ///< Of SIGTERM, until the process is started again.
    int activeFaults = 0;     ///< Faults other than SIGTERM.
    TimePoint lastFaultAt{};  ///< End of the last of them.

    bool isDisturbedSince(TimePoint time) const { return activeFaults > 0 || lastFaultAt >= time; }
};

/// One simulated worker and the link through which the processes reach it.
struct SoakWorker
{
    std::string id;
    std::unique_ptr<FakeCellWorker> worker;
    std::unique_ptr<platform::WorkerStandin<FakeCellWorker>> standin;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<LinkProxy> link;
    bool isRegistered = false;
    TimePoint downSince{};
    TimePoint downUntil{}; ///< Until then a crashed worker neither answers nor registers.
};

/// Runs the scheduler processes and simulates their platform: store, workers and links.
class SoakFleet
{
public:
    SoakFleet(asio::io_context &context, const SoakOptions &options);

    /// Publishes the configuration, then starts the platform and the processes.
    void start();
    /// Stops the processes gracefully; adds a violation for each that fails to stop or had crashed.
    void stop();

    /// Rewrites the settings file of \a node.
    void writeSettings(const SoakNode &node) const;
    /// Publishes a configuration with a newer version and an idle route named after that version.
    void publishConfig();
    /// Crashes a worker: it loses all its state and does not answer for \a downtime.
    void crash(SoakWorker &worker, Duration downtime);
    /// Restarts a worker under its id at once; requests that its link holds reach the new process.
    void restart(SoakWorker &worker);
    /// The process that owns \a cell by its latest claim; null if none does.
    SoakNode *ownerOf(int cell);
    /// Appends a line to soak.log, with the time as in the logs of the processes.
    void log(const std::string &text);

    static constexpr const char *Host = "soak.example";
    static constexpr const char *PathPrefix = "/jobs/";

    CellAudit audit;
    std::vector<SoakNode> nodes;
    std::vector<SoakWorker> workers;
    platform::StoreStandin store;
    std::mt19937_64 random;
    std::uint64_t configVersion = 0;
    int cells = 1;

private:
    void addNode(int number, const SoakOptions &options);
    void addWorker(int number, int cells);
    void publishLayout(int cells);
    /// Draws which links drop what they hold when its sender resets the connection.
    void drawLinkKinds(std::uint64_t seed);
    void tick();
    void registerWorkers(TimePoint now);
    std::string address(int host) const;

    asio::io_context &m_context;
    std::ofstream m_log;
    std::size_t m_loggedViolations = 0;
    std::string m_networkPrefix; ///< First three octets of the loopback addresses of this soak.
    std::unique_ptr<HttpServer> m_storeServer;
    asio::basic_waitable_timer<Clock> m_timer;
    TimePoint m_nextHeartbeat{};
    std::uint64_t m_heartbeat = 0;
};

} // namespace firefly::soak
