#include "Process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <system_error>
#include <utility>

namespace firefly::review {
namespace {

std::string inherited(const char *name)
{
    const char *value = std::getenv(name);
    return std::string(name) + "=" + (value ? value : "");
}

} // namespace

Process::Process(std::string program, std::filesystem::path settings, std::filesystem::path log)
    : m_program(std::move(program))
    , m_settings(std::move(settings))
    , m_log(std::move(log))
{}

Process::~Process()
{
    if (isRunning()) {
        signal(SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

void Process::start()
{
    constexpr int LogMode = 0644;
    constexpr int ExitNotExecuted = 127;
    std::string path = inherited("PATH");
    std::string home = inherited("HOME");
    std::string lang = inherited("LANG");
    std::string boot = "FIREFLYSWITCH_BOOT=" + m_settings.string();
    const std::array<char *, 5> environment{path.data(), home.data(), lang.data(), boot.data(),
                                            nullptr};
    const std::array<char *, 2> arguments{m_program.data(), nullptr};
    const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LogMode);
    const pid_t pid = ::fork();
    if (log < 0 || pid < 0) {
        throw std::system_error(errno, std::generic_category(), m_program);
    }
    if (pid == 0) {
        // It ends with the rig, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execve(arguments.front(), arguments.data(), environment.data());
        ::_exit(ExitNotExecuted);
    }
    ::close(log);
    m_pid = pid;
    m_isKilled = false;
}

void Process::signal(int number)
{
    if (m_pid != 0) {
        m_isKilled = m_isKilled || number == SIGKILL;
        ::kill(m_pid, number);
    }
}

bool Process::isRunning()
{
    int status = 0;
    if (m_pid == 0 || ::waitpid(m_pid, &status, WNOHANG) == 0) {
        return m_pid != 0;
    }
    m_pid = 0;
    const bool isGraceful = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    m_hasFailed = m_hasFailed || (!isGraceful && !m_isKilled);
    return false;
}

} // namespace firefly::review
