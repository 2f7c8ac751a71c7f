#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace firefly {

/// The story of one id, collected from the log lines of all processes.
///
/// Feed every line, then ask for the text.  Lines about the id tell what was decided; around them
/// stand the changes that explain them: owners, the store, the workers that had its runs.
class LogStory
{
public:
    /// \param id of a job, a task (ID.K.STEP.INDEX) or a worker.
    explicit LogStory(std::string id);

    /// Takes one line; what stands before the JSON object is left out.
    void add(std::string_view line);
    /// One line for each event, in the order of time; at most \a mostLines, the middle left out.
    std::string text(std::size_t mostLines) const;
    /// Lines that held no JSON object with a time and a message.
    std::size_t unreadable() const { return m_unreadable; }

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

    std::vector<Event> chosen() const;

    std::string m_id;
    std::vector<Event> m_events; ///< Own lines, context and lines about single workers.
    std::set<std::string> m_workers;
    std::size_t m_unreadable = 0;
};

} // namespace firefly
