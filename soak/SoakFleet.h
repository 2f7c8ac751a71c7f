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
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace firefly::soak {

/// What one soak consists of.
struct SoakOptions
{
    std::string program; ///< The fireflynode to run.
    std::filesystem::path directory;
    std::uint64_t seed = 1;
    int nodes = 3;
    int workers = 6;
    int cells = 2;
    Duration faults = std::chrono::seconds(15);   ///< Span in which faults begin.
    Duration settling = std::chrono::seconds(25); ///< For all jobs to end afterwards.
};

/// One process of the fleet with the links that lead to and from it.
struct SoakNode
{
    NodeSettings settings;
    std::filesystem::path settingsFile;
    std::unique_ptr<LinkProxy> callers; ///< From clients.
    std::unique_ptr<LinkProxy> store;   ///< To the store.
    std::unique_ptr<NodeProcess> process;
    Endpoint callersEndpoint;
};

/// One worker behind its link.
struct SoakWorker
{
    std::string id;
    std::unique_ptr<FakeCellWorker> worker;
    std::unique_ptr<platform::WorkerStandin<FakeCellWorker>> standin;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<LinkProxy> link;
    bool isRegistered = false;
    TimePoint downSince{};
    TimePoint downUntil{}; ///< A crashed worker neither answers nor registers.
};

/// Processes of the product on this machine, and the platform around them in this process.
class SoakFleet
{
public:
    SoakFleet(asio::io_context &context, const SoakOptions &options);

    /// Starts everything; the configuration precedes the processes.
    void start();
    /// Ends the processes gracefully and waits for them.
    void stop();

    /// Writes the settings file of \a node anew.
    void writeSettings(const SoakNode &node) const;
    /// Publishes a configuration that has one more idle route than the last.
    void publishConfig();
    /// A worker loses everything and answers nothing for \a down.
    void crash(SoakWorker &worker, Duration down);

    static constexpr const char *Host = "soak.example";
    static constexpr const char *PathPrefix = "/jobs/";

    CellAudit audit;
    std::vector<SoakNode> nodes;
    std::vector<SoakWorker> workers;
    platform::StoreStandin store;
    std::mt19937_64 random;
    std::uint64_t configVersion = 0;

private:
    void addNode(int number, const SoakOptions &options);
    void addWorker(int number, int cells);
    void publishLayout(int cells);
    void tick();
    void registerWorkers(TimePoint now);
    std::string address(int host) const;

    asio::io_context &m_context;
    std::string m_network; ///< First three parts of the loopback addresses of this soak.
    std::unique_ptr<HttpServer> m_storeServer;
    asio::basic_waitable_timer<Clock> m_timer;
    TimePoint m_nextHeartbeat{};
    std::uint64_t m_heartbeat = 0;
};

} // namespace firefly::soak
