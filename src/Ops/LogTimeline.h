#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace firefly {

/// Events that concern one id, merged in time order from the log lines of all processes.
///
/// Besides the lines that name the id, it contains changes that help to explain them: of owner,
/// store, configuration or process, and of the workers on which the id ran.
class LogTimeline
{
public:
    /// \param id id of a job, a task (ID.K.STEP.INDEX) or a worker.
    explicit LogTimeline(std::string id);

    /// Adds a log line; text before the JSON object is ignored.
    void add(std::string_view line);
    /// One line per event, in time order.  If there are more than \a maxLines events, those in the
    /// middle are replaced by one line with their number.
    std::string text(std::size_t maxLines) const;
    /// Number of lines without a JSON object that has a time and a message.
    std::size_t unreadableLines() const { return m_unreadable; }

private:
    struct Event
    {
        std::string time;
        std::string process;
        std::string text;
        std::string worker;
        bool isOwn = false;     ///< Names the id.
        bool isContext = false; ///< A change of owner, store, configuration or process.
    };

    std::vector<Event> relevantEvents() const;

    std::string m_id;
    std::vector<Event> m_events; ///< Own lines, context and lines about single workers.
    std::set<std::string> m_workers;
    std::size_t m_unreadable = 0;
};

} // namespace firefly
