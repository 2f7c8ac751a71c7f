#include "platform/standins/PartnerWire.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace firefly {
namespace {

constexpr Duration PollInterval = std::chrono::milliseconds(10);
constexpr Duration MaxStartTime = std::chrono::seconds(20);

/// A program that was started here; killed at the end if it still runs.
class Program
{
public:
    explicit Program(std::vector<std::string> words)
    {
        std::vector<char *> argv;
        argv.reserve(words.size() + 1);
        for (std::string &it : words) {
            argv.push_back(it.data());
        }
        argv.push_back(nullptr);
        m_pid = fork();
        if (m_pid == 0) {
            execv(argv.front(), argv.data());
            _exit(EXIT_FAILURE);
        }
    }
    ~Program()
    {
        if (m_pid > 0) {
            kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
        }
    }
    Program(const Program &) = delete;
    Program &operator=(const Program &) = delete;

    void terminate() const { signal(SIGTERM); }
    void signal(int number) const { kill(m_pid, number); }

    /// The exit code, unless the program still runs after \a limit or a signal ended it.
    std::optional<int> waitForExit(Duration limit)
    {
        const auto deadline = std::chrono::steady_clock::now() + limit;
        while (std::chrono::steady_clock::now() < deadline) {
            int status = 0;
            if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
                m_pid = 0;
                return WIFEXITED(status) ? std::optional(WEXITSTATUS(status)) : std::nullopt;
            }
            std::this_thread::sleep_for(PollInterval);
        }
        return std::nullopt;
    }

private:
    pid_t m_pid = 0;
};

NodeSettings makeSettings()
{
    NodeSettings settings;
    settings.node = "n";
    settings.zone = "z";
    settings.address = "127.0.0.1";
    settings.clientEndpoint = {"127.0.0.1", 18711};
    settings.readinessEndpoint = Endpoint{"127.0.0.1", 18712};
    settings.internalPorts = {18713, 18714};
    settings.storeEndpoint = {"127.0.0.1", 18710};
    return settings;
}

bool waitUntilListening(const Endpoint &endpoint)
{
    asio::io_context context;
    const auto deadline = std::chrono::steady_clock::now() + MaxStartTime;
    while (std::chrono::steady_clock::now() < deadline) {
        asio::ip::tcp::socket socket(context);
        asio::error_code ec;
        socket.connect({asio::ip::make_address(endpoint.address), endpoint.port}, ec);
        if (!ec) {
            return true;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return false;
}

// A process that had stopped stayed, serving nothing, until it was killed at the end of its grace
// period: a static destructor waited for a library's thread that never got to run (issue 33).
TEST(ProcessExit, ANodeThatHasDrainedIsGoneThoughAThreadOfALibraryNeverRuns)
{
    const NodeSettings settings = makeSettings();
    const auto file = std::filesystem::path(testing::TempDir()) / "process-exit.yaml";
    std::ofstream(file) << platform::encodeSettings(settings);
    Program node({NODE_WITH_IDLE_THREADS, "--settings", file.string()});
    ASSERT_TRUE(waitUntilListening(settings.clientEndpoint));
    node.terminate();
    EXPECT_EQ(node.waitForExit(settings.gracePeriod), 0);
}

// Guards against a process that the order to read its settings again ends, as it comes while the
// process starts.
TEST(ProcessExit, AReloadDuringTheStartEndsNoProcess)
{
    constexpr int BadSettings = 2;
    const auto pipe = std::filesystem::path(testing::TempDir()) / "process-exit.pipe";
    std::filesystem::remove(pipe);
    ASSERT_EQ(mkfifo(pipe.c_str(), S_IRUSR | S_IWUSR), 0);
    Program node({NODE_WITH_IDLE_THREADS, "--settings", pipe.string()});
    std::ofstream settings(pipe); // Opens once the process reads.
    node.signal(SIGHUP);
    settings << "none";
    settings.close();
    EXPECT_EQ(node.waitForExit(MaxStartTime), BadSettings);
    std::filesystem::remove(pipe);
}

} // namespace
} // namespace firefly
