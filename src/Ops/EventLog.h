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

/// Stream that an EventLog writes to.
enum class LogStream { Output, Error };

/// Writes log lines, one JSON object per line, with log4cplus.
///
/// Never blocks: a line that the stream cannot take at once, such as a full pipe whose reader is
/// stalled, is dropped.  The next line written reports the number of dropped lines.
///
/// Lines with the same component and message are rate-limited; the first line after an interval in
/// which the limit was exceeded reports the number of suppressed lines.  Memory is bounded by the
/// number of distinct messages, which are string literals of the program.
class EventLog
{
public:
    /// Default limit of lines with the same component and message per interval.
    static constexpr int DefaultLinesPerInterval = 5;
    /// Interval of the rate limit.
    static constexpr Duration Interval = std::chrono::seconds(10);

    /// \param process name of this process, written in every line.
    /// \param level lowest severity that is written.
    /// \param linesPerInterval limit of lines with the same component and message per interval.
    EventLog(std::string process, LogLevel level, LogStream stream = LogStream::Error,
             int linesPerInterval = DefaultLinesPerInterval);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /// Writes a line with the given \a fields, a JSON object.
    void write(LogLevel level, std::string_view component, std::string_view message,
               const nlohmann::json &fields);
    /// Writes a line with the fields that \a makeFields returns.  \a makeFields is called only if
    /// the line is written.
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
    /// Number of lines with one component and message in the current interval.
    struct RateWindow
    {
        TimePoint intervalBegin{};
        int written = 0;
        int suppressed = 0;
    };

    /// Applies the rate limit.
    /// \returns the number of suppressed lines that this line reports; -1 if it is suppressed too.
    int admit(std::string_view component, std::string_view message);
    /// Decides whether a line is written, by its level, the rate limit and the state of the stream.
    /// \returns the number of suppressed lines that it reports; empty if it is not written.
    std::optional<int> beginLine(LogLevel level, std::string_view component,
                                 std::string_view message);
    void writeLine(LogLevel level, std::string_view component, std::string_view message,
                   nlohmann::json line, int suppressed);

    /// True if the stream accepts a line without blocking.
    bool canWrite() const;

    std::string m_process;
    LogStream m_stream;
    int m_linesPerInterval;
    std::uint64_t m_dropped = 0; ///< Lines dropped since the last one that was written.
    LogLevel m_level;
    std::map<std::string, RateWindow, std::less<>> m_rateWindows;
};

} // namespace firefly
