#pragma once

#include "Config/Settings.h"
#include "Core/Clock.h"

#include <nlohmann/json.hpp>

#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace firefly {

/// Where the lines of an EventLog go.
enum class LogStream { Output, Error };

/// Writes one JSON object a line, by log4cplus.
///
/// A line that the reader's pipe has no room for is dropped and counted, so that a stalled reader
/// never blocks the process.  The next line says how many were dropped.
///
/// Lines with the same component and message are limited to a number for each interval; the first
/// line of the next interval says how many were suppressed.  Memory is bounded by the number of
/// distinct messages, which are literals of the program.
class EventLog
{
public:
    /// Default of the lines of one component and message that one interval lets through.
    static constexpr int DefaultLinesPerInterval = 5;
    static constexpr Duration Interval = std::chrono::seconds(10);

    /// \param process names this process in every line.
    /// \param level the least severity that is written.
    /// \param linesPerInterval lines of one component and message that one interval lets through.
    EventLog(std::string process, LogLevel level, LogStream stream = LogStream::Error,
             int linesPerInterval = DefaultLinesPerInterval);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /// Writes a line with the given \a fields, a JSON object.
    void write(LogLevel level, std::string_view component, std::string_view message,
               const nlohmann::json &fields);
    /// Writes a line with the fields that \a makeFields returns; not called for a line that is
    /// left out.
    template <std::invocable MakeFields>
    void write(LogLevel level, std::string_view component, std::string_view message,
               const MakeFields &makeFields)
    {
        const auto suppressed = beginLine(level, component, message);
        if (suppressed) {
            writeLine(level, component, message, makeFields(), *suppressed);
        }
    }
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
    /// Number of lines suppressed before this one; empty when this one is left out.
    std::optional<int> beginLine(LogLevel level, std::string_view component,
                                 std::string_view message);
    void writeLine(LogLevel level, std::string_view component, std::string_view message,
                   nlohmann::json line, int suppressed);

    /// True when the stream takes a line without blocking.
    bool canWrite() const;

    std::string m_process;
    LogStream m_stream;
    int m_linesPerInterval;
    std::uint64_t m_dropped = 0; ///< Since the last line that was written.
    LogLevel m_level;
    std::map<std::string, Rate, std::less<>> m_rates;
};

} // namespace firefly
