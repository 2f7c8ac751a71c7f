#pragma once

#include "Core/Clock.h"

#include <sys/types.h>

#include <filesystem>
#include <string>

namespace firefly::soak {

/// Runs one fireflynode process; signals go only to the process id that was started here.
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
    /// Sends signal \a number to the process, if it runs.
    void signal(int number);
    /// True while the process runs; otherwise collects its exit status.
    bool isRunning();
    bool hasBeenKilled() const { return m_hasBeenKilled; }
    /// True if the process has written to its log.
    bool hasLogged() const { return logSize() > m_logSizeAtStart; }
    /// Last line of the log, empty if there is none.
    std::string lastLogLine() const;
    /// Time since the log was last written to.
    Duration timeSinceLog() const;
    /// Statuses of the processes started here that crashed or exited with an error; empty if none.
    const std::string &crashes() const { return m_crashes; }

private:
    /// Size of the log in bytes; 0 if there is none yet.
    std::uintmax_t logSize() const;

    std::string m_program;
    std::filesystem::path m_settings;
    std::filesystem::path m_log;
    pid_t m_pid = 0;
    bool m_hasBeenKilled = false;
    std::string m_crashes;
    std::uintmax_t m_logSizeAtStart = 0;
};

} // namespace firefly::soak
