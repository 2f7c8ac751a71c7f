#pragma once

#include <sys/types.h>

#include <filesystem>
#include <string>

namespace firefly::review {

/// Runs one process of the system, started as the platform does: by the command of the deploy
/// file, with the path of its settings in the environment.
class Process
{
public:
    Process(std::string program, std::filesystem::path settings, std::filesystem::path log);
    /// Kills the process if it still runs.
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// \throws std::system_error
    void start();
    /// Sends signal \a number to the process, if it runs.
    void signal(int number);
    /// True while the process runs; otherwise collects its exit status.
    bool isRunning();
    /// True if it has ended with an error, other than by SIGKILL from here.
    bool hasFailed() const { return m_hasFailed; }

private:
    std::string m_program;
    std::filesystem::path m_settings;
    std::filesystem::path m_log;
    pid_t m_pid = 0;
    bool m_isKilled = false;
    bool m_hasFailed = false;
};

} // namespace firefly::review
