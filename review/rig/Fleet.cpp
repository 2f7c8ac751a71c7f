#include "Fleet.h"

#include "../../platform/StoreClient.h"
#include "../../platform/Wire.h"

#include <asio/basic_waitable_timer.hpp>
#include <asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>

namespace firefly::review {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr Duration TickInterval = 5ms;
/// As heartbeat_ms in the settings.
constexpr Duration CheckInInterval = 1500ms;
constexpr Duration StartLimit = 20s;
constexpr Duration ClientTimeout = 3000ms;
constexpr Duration GracePeriod = 6s;
constexpr int WorkersPerRack = 8;
constexpr int StoreHost = 2;
constexpr int FirstNodeHost = 10;
constexpr int FirstWorkerHost = 100;
constexpr int DeadHost = 240;

/// Loopback network of its own for each process of the rig.
std::string networkPrefix()
{
    constexpr int Octets = 250;
    const int pid = ::getpid();
    return "127." + std::to_string(1 + pid / Octets % Octets) + "." + std::to_string(pid % Octets)
           + ".";
}

const char *reasonName(RunEndReason reason)
{
    switch (reason) {
    case RunEndReason::Done:
        return "done";
    case RunEndReason::Failed:
        return "failed";
    case RunEndReason::Stopped:
        return "stopped";
    case RunEndReason::Lapsed:
        return "lapsed";
    case RunEndReason::Broken:
        return "broken";
    case RunEndReason::Alone:
        break;
    }
    return "alone";
}

std::string describe(const TaskName &task, std::uint32_t run)
{
    return platform::formatTaskName(task) + " run " + std::to_string(run);
}

} // namespace

Fleet::Fleet(const Options &options)
    : m_options(options)
    , m_network(networkPrefix())
    , m_record(options.record)
    , m_startedAt(Clock::now())
{
    std::filesystem::create_directories(options.directory);
    m_store = std::make_unique<platform::StoreStandin>(m_context);
    const std::string storeAddress = m_network + std::to_string(StoreHost);
    m_storeEndpoint = {storeAddress, freePort(storeAddress)};
    m_storeServer = std::make_unique<HttpServer>(
        m_context, m_storeEndpoint, HttpLimits{},
        [this](const HttpRequest &request, HttpServer::Respond respond) {
            m_store->handle(request, std::move(respond));
        });
    for (int i = 0; i < options.workers; ++i) {
        addWorker(i);
    }
    for (int i = 0; i < options.nodes; ++i) {
        addNode(i);
    }
}

Fleet::~Fleet()
{
    stop();
}

std::uint16_t Fleet::freePort(const std::string &address)
{
    asio::ip::tcp::acceptor acceptor(
        m_context, asio::ip::tcp::endpoint(asio::ip::make_address_v4(address), 0));
    return acceptor.local_endpoint().port();
}

void Fleet::addWorker(int number)
{
    static const char *const Zones[] = {"kochi", "trivandrum", "calicut"};
    const std::string address = m_network + std::to_string(FirstWorkerHost + number);
    const Endpoint own{address, freePort(address)};
    const Endpoint listed{address, freePort(address)};
    char id[16];
    std::snprintf(id, sizeof id, "i-%08x", 0x5a3c0000 + number);
    auto worker = std::make_unique<Worker>(m_context, id, listed, *this);
    worker->zone = Zones[number / WorkersPerRack % 3];
    worker->rack = "r1-" + std::to_string(1 + number / WorkersPerRack);
    WorkerLink link;
    link.server = std::make_unique<HttpServer>(
        m_context, own, HttpLimits{},
        [target = worker.get()](const HttpRequest &request, HttpServer::Respond respond) {
            target->handle(request, std::move(respond));
        });
    link.proxy = std::make_unique<soak::LinkProxy>(m_context, listed, own);
    workers.push_back(std::move(worker));
    m_links.push_back(std::move(link));
}

void Fleet::addNode(int number)
{
    Node node;
    node.name = "front-kochi-" + std::to_string(number + 1);
    node.address = m_network + std::to_string(FirstNodeHost + number);
    node.frontPort = freePort(node.address);
    node.readyPort = freePort(node.address);
    const auto file = m_options.directory / (node.name + ".yaml");
    writeSettings(node, file, freePort(node.address));
    node.process = std::make_unique<Process>(m_options.program, file,
                                             m_options.directory / (node.name + ".log"));
    m_nodes.push_back(std::move(node));
}

void Fleet::writeSettings(const Node &node, const std::filesystem::path &file,
                          std::uint16_t internalPort) const
{
    std::ofstream(file) << "node_name: \"" << node.name << "\"\n"
                        << "role: \"node\"\nmachine_class: \"front\"\n"
                        << "serves:\n  - \"front\"\n  - \"control\"\n"
                        << "ip: \"" << node.address << "\"\n"
                        << "zone: \"kochi\"\nregion: \"kerala\"\n"
                        << "zones:\n  kochi: \"kerala\"\n  trivandrum: \"kerala\"\n"
                        << "  calicut: \"kerala\"\n"
                        << "listen_addrs:\n  front: \"" << node.address << ':' << node.frontPort
                        << "\"\n  ready: \"" << node.address << ':' << node.readyPort << "\"\n"
                        << "internal_ports:\n  - " << internalPort << "\n  - " << internalPort
                        << "\nseeds: []\nbootstrap: true\nin_tolerance: false\n"
                        << "limits:\n  cpu_share: 0.1\n  cores: 1\n  memory_mb: 260\n"
                        << "  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n"
                        << "data_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\n"
                        << "heartbeat_ms: 1500\n"
                        << "fault_tolerance:\n  machines: 2\n  zones: 0\n  regions: 0\n"
                        << "bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n"
                        << "  ack_ms: 4000\n  catch_up_s: 4\n  drain_ms: 2000\n  grace_s: 6\n"
                        << "  loss_slack_ms: 200\n  config_apply_ms: 2000\n"
                        << "  rollback_slack_ms: 250\n  max_skew_ms: 5000\n  recovery_s: 12\n"
                        << "  hold_max_ms: 6000\n  stop_timeout_ms: 200\n"
                        << "  gang_timeout_ms: 3000\n  cancel_ms: 3000\n  visible_ms: 3000\n"
                        << "  early_ms: 250\n  finish_s: 14\n  status_s: 120\n"
                        << "  far_factor: 1.5\n  checkpoint_s: 0.5\n  restore_ms: 600\n"
                        << "  notice_ms: 4500\n  migrate_s: 1.5\n  maintenance_s: 2\n"
                        << "  fencing_enforced: true\n  lease_ms: 3000\n  thaw_slack_ms: 300\n"
                        << "  pace_ms: 100\n  violation_ms: 4000\n"
                        << "orders: \"rpc\"\n"
                        << "platform:\n  address: \"" << m_storeEndpoint.address << ':'
                        << m_storeEndpoint.port << "\"\n  form: \"log\"\n"
                        << "  writes_per_s: 600\n  reads_per_s: 2000\n  parts: 12\n"
                        << "  append_ms: 2.0\n  partition_mb_s: 20.0\n  read_mb_s: 80.0\n"
                        << "  record_bytes: 262144\n  call_bytes: 2097152\n  keep_s: 300\n"
                        << "  part_mb: 200\n  ttl_min_ms: 1000\n";
}

void Fleet::publishConfig()
{
    json routes = json::array();
    for (const Queue &it : queues) {
        routes.push_back({{"name", it.name},
                          {"host", it.host},
                          {"path_prefix", it.prefix},
                          {"type", "unsafe"},
                          {"timeout_ms", 3000},
                          {"target_latency_ms", it.targetLatencyMs},
                          {"priority", it.priority},
                          {"service", "roster-svc"},
                          {"max_attempts", it.maxAttempts},
                          {"stretch", it.stretch}});
    }
    const json config{{"version", 7},
                      {"routes", routes},
                      {"services",
                       {{{"name", "roster-svc"},
                         {"health_path", "/health"},
                         {"max_connections", 64},
                         {"protocol", "h1"},
                         {"tls", false},
                         {"admission_check", true},
                         {"standby", false}}}},
                      {"limits", json::object()}};
    m_store->put("keyed.op", platform::ConfigKey, config.dump());
}

bool Fleet::start()
{
    publishConfig();
    tick();
    for (Node &it : m_nodes) {
        it.process->start();
    }
    // As the load balancer does, and until the workers have registered.
    for (const Node &it : m_nodes) {
        bool isReady = false;
        const bool isInTime = runUntil(StartLimit, [&] {
            HttpExchange exchange;
            exchange.url = "http://" + it.address + ":" + std::to_string(it.readyPort) + "/ready";
            exchange.timeout = 500ms;
            bool isOver = false;
            m_curl.start(std::move(exchange), [&](const HttpResult &result) {
                isOver = true;
                isReady = result.isSuccess();
            });
            while (!isOver) {
                m_context.run_for(TickInterval);
            }
            return isReady;
        });
        if (!isInTime) {
            note("process " + it.name + " isn't ready");
            return false;
        }
    }
    note("all processes are ready");
    return true;
}

void Fleet::stop()
{
    for (Node &it : m_nodes) {
        if (it.process->isRunning()) {
            it.process->signal(SIGCONT);
            it.process->signal(SIGTERM);
        }
    }
    runUntil(GracePeriod, [this] {
        return std::ranges::none_of(m_nodes,
                                    [](const Node &it) { return it.process->isRunning(); });
    });
    m_nodes.clear(); // Kills what still runs.
}

bool Fleet::hasCrashed()
{
    return std::ranges::any_of(m_nodes, [](const Node &it) {
        it.process->isRunning();
        return it.process->hasFailed();
    });
}

bool Fleet::runUntil(Duration limit, const std::function<bool()> &isOver)
{
    const TimePoint end = Clock::now() + limit;
    while (!isOver()) {
        if (Clock::now() >= end) {
            return false;
        }
        m_context.run_for(TickInterval);
    }
    return true;
}

void Fleet::restartNode(std::size_t node)
{
    Node &it = m_nodes[node];
    note("SIGTERM to " + it.name);
    it.process->signal(SIGTERM);
    if (!runUntil(GracePeriod, [&] { return !it.process->isRunning(); })) {
        note("SIGKILL to " + it.name);
        it.process->signal(SIGKILL);
        runUntil(1s, [&] { return !it.process->isRunning(); });
    }
    it.process->start();
    note(it.name + " is started again");
}

Endpoint Fleet::deadEndpoint()
{
    const std::string address = m_network + std::to_string(DeadHost);
    return {address, freePort(address)};
}

void Fleet::runFor(Duration span)
{
    runUntil(span, [] { return false; });
}

void Fleet::tick()
{
    const TimePoint now = Clock::now();
    for (const auto &it : workers) {
        it->tick(now);
    }
    if (now >= m_nextCheckIn) {
        m_nextCheckIn = now + CheckInInterval;
        for (const auto &it : workers) {
            if (it->isUp()) {
                checkIn(*it);
            }
        }
        for (const auto &[id, entry] : foreignEntries) {
            m_store->put("keyed.servers", id, entry);
        }
    }
    m_timer.expires_after(TickInterval);
    m_timer.async_wait([this](asio::error_code ec) {
        if (!ec) {
            tick();
        }
    });
}

void Fleet::checkIn(Worker &worker)
{
    m_store->put("keyed.servers", worker.id(), worker.entry());
}

Worker &Fleet::worker(const std::string &id)
{
    return **std::ranges::find_if(workers, [&id](const auto &it) { return it->id() == id; });
}

void Fleet::crash(Worker &worker)
{
    note("crash of " + worker.id());
    const auto index = static_cast<std::size_t>(
        std::ranges::find_if(workers, [&](const auto &it) { return it.get() == &worker; })
        - workers.begin());
    worker.crash();
    m_links[index].proxy->reset();
    m_links[index].proxy->isRefusing = true;
}

void Fleet::restart(Worker &worker)
{
    note("restart of " + worker.id() + " under its id, kind " + worker.kind);
    const auto index = static_cast<std::size_t>(
        std::ranges::find_if(workers, [&](const auto &it) { return it.get() == &worker; })
        - workers.begin());
    worker.restart();
    m_links[index].proxy->isRefusing = false;
}

void Fleet::callAsync(std::size_t node, const std::string &method, const Queue &queue,
                      const std::string &id, const std::string &body,
                      std::function<void(const HttpResult &)> done)
{
    const Node &target = m_nodes[node % m_nodes.size()];
    HttpExchange exchange;
    exchange.method = method;
    exchange.url =
        "http://" + target.address + ":" + std::to_string(target.frontPort) + queue.prefix + id;
    exchange.headers = {{"Host", queue.host}, {"X-Deadline-Ms", "3000"}};
    if (!body.empty()) {
        exchange.headers.push_back({"Content-Type", "application/json"});
    }
    exchange.body = body;
    exchange.timeout = ClientTimeout;
    m_curl.start(std::move(exchange), std::move(done));
}

HttpResult Fleet::call(std::size_t node, const std::string &method, const Queue &queue,
                       const std::string &id, const std::string &body)
{
    HttpResult answer;
    bool isOver = false;
    callAsync(node, method, queue, id, body, [&](const HttpResult &result) {
        answer = result;
        isOver = true;
    });
    while (!isOver) {
        m_context.run_for(TickInterval);
    }
    return answer;
}

std::string Fleet::encodeJob(const std::vector<Step> &steps)
{
    json rows = json::array();
    for (const Step &it : steps) {
        json row{{"count", it.count},
                 {"cpu", it.behaviour.milliCpu},
                 {"mem_mb", it.behaviour.memoryMb},
                 {"estimate_ms", it.estimateMs}};
        if (it.isLongRunning) {
            row["long_running"] = true;
        }
        if (it.isGang) {
            row["gang"] = true;
        }
        if (!it.after.empty()) {
            row["after"] = it.after;
        }
        if (it.maxPerWorker > 0) {
            row["anti_affinity"] = it.maxPerWorker;
        }
        if (!it.requirements.empty()) {
            row["requirements"] = it.requirements;
        }
        if (!it.image.empty()) {
            row["image"] = it.image;
        }
        rows.push_back(std::move(row));
    }
    return json{{"spec", steps.front().behaviour.encode()}, {"steps", rows}}.dump();
}

bool Fleet::submit(const Queue &queue, const std::string &id, const std::vector<Step> &steps)
{
    constexpr int Attempts = 5;
    for (int i = 0; i < Attempts; ++i) {
        const std::size_t node = m_nextNode++ % m_nodes.size();
        const HttpResult result = call(node, "POST", queue, id, encodeJob(steps));
        note("client: POST " + id + " (" + queue.name + ") to " + m_nodes[node].name + " -> "
             + (result.isComplete() ? std::to_string(result.statusCode) : "no answer"));
        if (result.isSuccess()) {
            return true;
        }
        runFor(1s);
    }
    return false;
}

std::string Fleet::stateOf(const Queue &queue, const std::string &id)
{
    const std::size_t node = m_nextNode++ % m_nodes.size();
    const HttpResult result = call(node, "GET", queue, id);
    const json body = json::parse(result.body, nullptr, false);
    const bool isState = result.isSuccess() && body.is_object() && body.contains("state");
    note("client: GET " + id + " at " + m_nodes[node].name + " -> "
         + (result.isComplete() ? std::to_string(result.statusCode) + " " + result.body
                                : "no answer"));
    return isState ? body["state"].get<std::string>() : std::string();
}

int Fleet::pendingOf(std::size_t node, const Queue &queue)
{
    const HttpResult result = call(node, "GET", queue, "");
    note("client: GET " + queue.prefix + " at " + m_nodes[node % m_nodes.size()].name + " -> "
         + (result.isComplete() ? std::to_string(result.statusCode) + " " + result.body
                                : "no answer"));
    const json body = json::parse(result.body, nullptr, false);
    return result.isSuccess() && body.is_object() ? body.value("pending", -1) : -1;
}

void Fleet::note(const std::string &text)
{
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f s  ",
                  std::chrono::duration<double>(elapsed()).count());
    m_record << stamp << text << '\n';
    m_record.flush();
}

void Fleet::onLeaseOver(const std::string &worker)
{
    note("the lease of " + worker + " is over");
    leaseEnds.emplace(worker, Clock::now());
}

void Fleet::onNote(const std::string &text)
{
    note(text);
}

void Fleet::onStarted(const std::string &worker, const TaskName &task, std::uint32_t run)
{
    note(worker + " starts " + describe(task, run));
    runs.push_back({worker, task, run, Clock::now()});
    if (afterStart) {
        afterStart(RunRecord(runs.back()));
    }
}

void Fleet::onEnded(const std::string &worker, std::uint64_t number, const TaskName &task,
                    std::uint32_t run, RunEndReason reason)
{
    note(worker + " ends " + describe(task, run) + " " + reasonName(reason) + " as number "
         + std::to_string(number));
    for (RunRecord &it : runs) {
        if (it.worker == worker && it.task == task && it.run == run && it.endedAt == TimePoint{}) {
            it.endedAt = Clock::now();
            it.reason = reason;
            it.endNumber = number;
        }
    }
}

void Fleet::onLost(const std::string &worker, const TaskName &task, std::uint32_t run)
{
    note(worker + " loses " + describe(task, run) + " with its process");
    for (RunRecord &it : runs) {
        if (it.worker == worker && it.task == task && it.run == run && it.endedAt == TimePoint{}) {
            it.endedAt = Clock::now();
            it.isLost = true;
        }
    }
}

void Fleet::onEndsForgotten(const std::string &worker, std::uint64_t upTo)
{
    for (RunRecord &it : runs) {
        if (it.worker == worker && it.endNumber > 0 && it.endNumber <= upTo && !it.isLost
            && !it.isNoted) {
            it.isNoted = true;
            it.notedAt = Clock::now();
        }
    }
}

} // namespace firefly::review
