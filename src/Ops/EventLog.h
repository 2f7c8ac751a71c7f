#pragma once

#include "Config/Settings.h"
#include "Core/Clock.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <string_view>

namespace firefly {

/// Writes one JSON object a line to standard error, by log4cplus.
///
/// Lines with the same component and message are limited to a number for each interval; the first
/// line of the next interval says how many were suppressed.  Memory is bounded by the number of
/// distinct messages, which are literals of the program.
class EventLog
{
public:
    /// Lines of one component and message that one interval lets through.
    static constexpr int LinesPerInterval = 5;
    static constexpr Duration Interval = std::chrono::seconds(10);

    /// \param process names this process in every line.
    /// \param level the least severity that is written.
    EventLog(std::string process, LogLevel level);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /// Writes a line with the given \a fields, a JSON object.
    void write(LogLevel level, std::string_view component, std::string_view message,
               const nlohmann::json &fields);
    /// Writes a line without further fields.
    void write(LogLevel level, std::string_view component, std::string_view message);

private:
    struct Rate
    {
        TimePoint intervalBegin{};
        int written = 0;
        int suppressed = 0;
    };

    /// Number of lines suppressed before this one, or -1 when this one is to be suppressed too.
    int admit(std::string_view component, std::string_view message);

    std::string m_process;
    LogLevel m_level;
    std::map<std::string, Rate, std::less<>> m_rates;
};

} // namespace firefly
