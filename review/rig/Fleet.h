#pragma once

#include "../../platform/standins/StoreStandin.h"
#include "../../soak/LinkProxy.h"
#include "Adapters/CurlLoop.h"
#include "Process.h"
#include "Worker.h"

#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace firefly::review {

/// Steps of a job, as a client writes them.
struct Step
{
    std::uint32_t count = 1;
    TaskBehaviour behaviour;
    std::int64_t estimateMs = 1000;
    bool isLongRunning = false;
    std::uint32_t maxPerWorker = 0;
    std::string requirements;
    bool isGang = false;
    std::string image;
    std::vector<std::uint32_t> after; ///< Numbers of earlier steps.
};

/// A queue of the configuration.
struct Queue
{
    std::string name;
    std::string host;
    std::string prefix;
    int priority = 0;
    int maxAttempts = 4;
    double stretch = 1.5;
    int targetLatencyMs = 250;
};

/// A run as a worker has seen it.
struct RunRecord
{
    std::string worker;
    TaskName task;
    std::uint32_t run = 0;
    TimePoint startedAt{};
    TimePoint endedAt{}; ///< Zero while it runs.
    bool isLost = false; ///< Ended with its worker.
    RunEndReason reason = RunEndReason::Done;
    std::uint64_t endNumber = 0;
    bool isNoted = false; ///< The worker was told that the end has been seen.
    TimePoint notedAt{};
};

/// A small deployment: the processes of the system, and stand-ins of the store, the workers, the
/// load balancer and the clients, all on loopback addresses.
class Fleet final : public WorkerEvents
{
public:
    struct Options
    {
        std::string program;
        std::filesystem::path directory; ///< For settings and logs.
        std::filesystem::path record;
        int nodes = 3;
        int workers = 12;
    };

    explicit Fleet(const Options &options);
    ~Fleet() override;
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Starts the processes and waits until each takes requests.  False if they don't.
    bool start();
    /// Ends the processes that were started.
    void stop();

    /// Runs the stand-ins until \a isOver returns true; false if \a limit passes before.
    bool runUntil(Duration limit, const std::function<bool()> &isOver);
    void runFor(Duration span);
    Duration elapsed() const { return Clock::now() - m_startedAt; }

    // Clients

    /// Sends one request of a client to process \a node and waits for the answer.
    HttpResult call(std::size_t node, const std::string &method, const Queue &queue,
                    const std::string &id, const std::string &body = {});
    /// Sends one request whose answer is passed to \a done.
    void callAsync(std::size_t node, const std::string &method, const Queue &queue,
                   const std::string &id, const std::string &body,
                   std::function<void(const HttpResult &)> done);
    /// Hands a job in, at one process after the other as a client does; false if it isn't accepted.
    bool submit(const Queue &queue, const std::string &id, const std::vector<Step> &steps);
    /// State of a job as shown to its client; empty without a 200.
    std::string stateOf(const Queue &queue, const std::string &id);
    /// Number of waiting jobs as shown to a client; -1 without an answer.
    int pendingOf(std::size_t node, const Queue &queue);
    static std::string encodeJob(const std::vector<Step> &steps);

    // Workers

    Worker &worker(const std::string &id);
    /// Ends the process of a worker: its connections are reset, new ones are refused.
    void crash(Worker &worker);
    void restart(Worker &worker);
    /// Writes the entry of \a worker to the store now.
    void checkIn(Worker &worker);

    void onStarted(const std::string &worker, const TaskName &task, std::uint32_t run) override;
    void onEnded(const std::string &worker, std::uint64_t number, const TaskName &task,
                 std::uint32_t run, RunEndReason reason) override;
    void onLost(const std::string &worker, const TaskName &task, std::uint32_t run) override;
    void onEndsForgotten(const std::string &worker, std::uint64_t upTo) override;
    void onLeaseOver(const std::string &worker) override;
    void onNote(const std::string &text) override;
    /// Writes a line to the record.
    void note(const std::string &text);

    /// Called after a run has begun.
    std::function<void(const RunRecord &)> afterStart;

    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<RunRecord> runs;
    /// When the lease of a worker has ended, by worker.
    std::multimap<std::string, TimePoint> leaseEnds;
    std::vector<Queue> queues;
    platform::StoreStandin &store() { return *m_store; }
    std::size_t nodeCount() const { return m_nodes.size(); }
    /// Stops process \a node with SIGTERM, waits for its end and starts it again.
    void restartNode(std::size_t node);
    /// Address in the network of the rig at which nobody listens.
    Endpoint deadEndpoint();
    /// Entries of another writer, by id, written at each check-in.
    std::map<std::string, std::string> foreignEntries;
    /// True if a process has ended by itself.
    bool hasCrashed();

private:
    struct Node
    {
        std::string name;
        std::string address;
        std::uint16_t frontPort = 0;
        std::uint16_t readyPort = 0;
        std::unique_ptr<Process> process;
    };
    struct WorkerLink
    {
        std::unique_ptr<HttpServer> server;
        std::unique_ptr<soak::LinkProxy> proxy;
    };

    void addWorker(int number);
    void addNode(int number);
    void writeSettings(const Node &node, const std::filesystem::path &file,
                       std::uint16_t internalPort) const;
    void publishConfig();
    void tick();
    std::uint16_t freePort(const std::string &address);

    Options m_options;
    asio::io_context m_context{1};
    std::string m_network;
    std::ofstream m_record;
    TimePoint m_startedAt{};
    std::unique_ptr<platform::StoreStandin> m_store;
    std::unique_ptr<HttpServer> m_storeServer;
    Endpoint m_storeEndpoint;
    CurlLoop m_curl{m_context};
    std::vector<Node> m_nodes;
    std::vector<WorkerLink> m_links;
    asio::basic_waitable_timer<Clock> m_timer{m_context};
    TimePoint m_nextCheckIn{};
    std::size_t m_nextNode = 0;
};

} // namespace firefly::review
