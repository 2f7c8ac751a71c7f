#include "Ops/EventLog.h"

#include <log4cplus/config.hxx>
#include <log4cplus/consoleappender.h>
#include <log4cplus/helpers/timehelper.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

#include <utility>

namespace firefly {
namespace {

constexpr const char *LoggerName = "firefly";

log4cplus::LogLevel toLog4cplusLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

std::string_view toString(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        break;
    }
    return "error";
}

log4cplus::Initializer &initializer()
{
    static log4cplus::Initializer instance;
    return instance;
}

} // namespace

EventLog::EventLog(std::string process, LogLevel level, LogStream stream, int linesPerInterval)
    : m_process(std::move(process))
    , m_stream(stream)
    , m_linesPerInterval(linesPerInterval)
    , m_level(level)
{
    initializer();
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(stream == LogStream::Error, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    auto logger = log4cplus::Logger::getInstance(LoggerName);
    logger.removeAllAppenders();
    logger.addAppender(appender);
    logger.setLogLevel(toLog4cplusLevel(level));
}

EventLog::~EventLog() = default;

bool EventLog::canWrite() const
{
    // poll() reports a pipe as writable if it accepts PIPE_BUF bytes, more than any line has.
    pollfd stream{m_stream == LogStream::Error ? STDERR_FILENO : STDOUT_FILENO, POLLOUT, 0};
    return poll(&stream, 1, 0) > 0 && (stream.revents & POLLOUT) != 0;
}

int EventLog::admit(std::string_view component, std::string_view message)
{
    std::string key(component);
    key += '/';
    key += message;
    RateWindow &window = m_rateWindows[key];
    const TimePoint now = Clock::now();
    int suppressed = 0;
    if (now - window.intervalBegin >= Interval) {
        suppressed = window.suppressed;
        window = RateWindow{now, 0, 0};
    }
    if (window.written >= m_linesPerInterval) {
        ++window.suppressed;
        return -1;
    }
    ++window.written;
    return suppressed;
}

std::optional<int> EventLog::beginLine(LogLevel level, std::string_view component,
                                       std::string_view message)
{
    if (level < m_level) {
        return std::nullopt;
    }
    const int suppressed = admit(component, message);
    if (suppressed < 0) {
        return std::nullopt;
    }
    if (!canWrite()) {
        ++m_dropped;
        return std::nullopt;
    }
    return suppressed;
}

void EventLog::write(LogLevel level, std::string_view component, std::string_view message,
                     const nlohmann::json &fields)
{
    write(level, component, message, [&fields] { return fields; });
}

void EventLog::writeLine(LogLevel level, std::string_view component, std::string_view message,
                         nlohmann::json line, int suppressed)
{
    if (!line.is_object()) {
        line = nlohmann::json::object();
    }
    line["time"] = log4cplus::helpers::getFormattedTime("%Y-%m-%dT%H:%M:%S.%qZ",
                                                        log4cplus::helpers::now(), true);
    line["level"] = toString(level);
    line["process"] = m_process;
    line["component"] = component;
    line["message"] = message;
    if (suppressed > 0) {
        line["suppressed"] = suppressed;
    }
    if (m_dropped > 0) {
        line["dropped"] = std::exchange(m_dropped, 0);
    }
    const auto text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    auto logger = log4cplus::Logger::getInstance(LoggerName);
    logger.log(toLog4cplusLevel(level), text);
}

void EventLog::write(LogLevel level, std::string_view component, std::string_view message)
{
    write(level, component, message, nlohmann::json::object());
}

} // namespace firefly
