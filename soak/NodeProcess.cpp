#include "NodeProcess.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <system_error>
#include <utility>

namespace firefly::soak {

NodeProcess::NodeProcess(std::string program, std::filesystem::path settings,
                         std::filesystem::path log)
    : m_program(std::move(program))
    , m_settings(std::move(settings))
    , m_log(std::move(log))
{}

NodeProcess::~NodeProcess()
{
    if (isRunning()) {
        signal(SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

std::uintmax_t NodeProcess::logSize() const
{
    std::error_code ec;
    const std::uintmax_t size = std::filesystem::file_size(m_log, ec);
    return ec ? 0 : size;
}

std::string NodeProcess::lastLogLine() const
{
    constexpr std::uintmax_t MaxLineBytes = 1000;
    const std::uintmax_t size = logSize();
    std::ifstream file(m_log);
    file.seekg(static_cast<std::streamoff>(size - std::min(size, MaxLineBytes)));
    std::string last;
    for (std::string line; std::getline(file, line);) {
        last = line;
    }
    return last;
}

Duration NodeProcess::timeSinceLog() const
{
    return std::chrono::duration_cast<Duration>(std::filesystem::file_time_type::clock::now()
                                                - std::filesystem::last_write_time(m_log));
}

void NodeProcess::start()
{
    m_logSizeAtStart = logSize();
    constexpr mode_t LogMode = 0644;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, LogMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string settings = m_settings.string();
    std::string option = "--settings";
    std::array<char *, 4> arguments{m_program.data(), option.data(), settings.data(), nullptr};
    const int ec =
        posix_spawn(&m_pid, m_program.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (ec != 0) {
        m_pid = 0;
        throw std::system_error(ec, std::generic_category(), m_program);
    }
    m_hasBeenKilled = false;
}

void NodeProcess::signal(int number)
{
    if (m_pid == 0) {
        return;
    }
    m_hasBeenKilled = m_hasBeenKilled || number == SIGKILL;
    ::kill(m_pid, number);
}

bool NodeProcess::isRunning()
{
    int status = 0;
    if (m_pid == 0 || ::waitpid(m_pid, &status, WNOHANG) == 0) {
        return m_pid != 0;
    }
    m_pid = 0;
    const bool isGraceful = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    // A process that is told to stop before it has logged its start can't handle the signal yet.
    const bool isStoppedBeforeStart =
        WIFSIGNALED(status) && WTERMSIG(status) == SIGTERM && logSize() == m_logSizeAtStart;
    if (!isGraceful && !m_hasBeenKilled && !isStoppedBeforeStart) {
        m_crashes += WIFSIGNALED(status) ? " signal " + std::to_string(WTERMSIG(status))
                                         : " exit code " + std::to_string(WEXITSTATUS(status));
    }
    return false;
}

} // namespace firefly::soak
