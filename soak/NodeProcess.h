#pragma once

#include <sys/types.h>

#include <filesystem>
#include <string>

namespace firefly::soak {

/// One process of the product, and only it: signals go to the id that was started here.
class NodeProcess
{
public:
    NodeProcess(std::string program, std::filesystem::path settings, std::filesystem::path log);
    /// Kills the process if it still runs.
    ~NodeProcess();
    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    /// Starts the program, appending its output to the log.
    /// \throws std::system_error
    void start();
    /// Sends \a number to the process, if it runs.
    void signal(int number);
    /// True while the process has not ended; notes its end otherwise.
    bool isRunning();
    /// True if some process ended by itself, by a crash or an error.
    bool hasCrashed() const { return m_hasCrashed; }

private:
    std::string m_program;
    std::filesystem::path m_settings;
    std::filesystem::path m_log;
    pid_t m_pid = 0;
    bool m_isKilled = false;
    bool m_hasCrashed = false;
};

} // namespace firefly::soak
