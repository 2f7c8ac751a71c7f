#include "Ops/LogTimeline.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace firefly {
namespace {

using nlohmann::json;

/// Messages about changes that may affect any id.
constexpr std::array<std::string_view, 14> ContextMessages{"owner begins",
                                                           "owner serves",
                                                           "owner ends",
                                                           "store lost",
                                                           "store regained",
                                                           "append failed",
                                                           "claiming",
                                                           "configuration in force",
                                                           "unreadable configuration",
                                                           "started",
                                                           "draining",
                                                           "stopped",
                                                           "settings read again",
                                                           "store refuses this epoch"};
/// Messages about one worker, included if the id ran on it.
constexpr std::array<std::string_view, 3> WorkerMessages{"renewal failed", "worker gone",
                                                         "worker reborn"};
/// Fields that are shown at the start of a line or do not describe the event.
constexpr std::array<std::string_view, 6> OmittedFields{"time",    "process", "component",
                                                        "message", "level",   "job"};

template <std::size_t Size>
bool isOneOf(const std::array<std::string_view, Size> &names, std::string_view name)
{
    return std::ranges::find(names, name) != names.end();
}

std::string toText(const json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string describe(const json &line)
{
    std::string text = line.at("message").get<std::string>();
    for (const auto &[name, value] : line.items()) {
        const std::string valueText = toText(value);
        if (!isOneOf(OmittedFields, name) && !valueText.empty()) {
            text.append(" ").append(name).append("=").append(valueText);
        }
    }
    return text;
}

/// True if \a line is about the job, task or worker \a id, or about a task of the job \a id.
bool concerns(const json &line, const std::string &id)
{
    if (line.value("job", "") == id || line.value("worker", "") == id) {
        return true;
    }
    const auto task = line.value("task", "");
    return task == id || task.starts_with(id + ".");
}

} // namespace

LogTimeline::LogTimeline(std::string id)
    : m_id(std::move(id))
{}

void LogTimeline::add(std::string_view line)
{
    const auto begin = line.find('{');
    if (begin == std::string_view::npos) {
        m_unreadable += line.empty() ? 0 : 1;
        return;
    }
    const json object = json::parse(line.substr(begin), nullptr, false);
    try {
        Event event;
        event.time = object.at("time").get<std::string>();
        const auto message = object.at("message").get<std::string>();
        event.process = object.value("process", "");
        event.worker = object.value("worker", "");
        event.isOwn = concerns(object, m_id);
        event.isContext = isOneOf(ContextMessages, message);
        if (!event.isOwn && !event.isContext && !isOneOf(WorkerMessages, message)) {
            return;
        }
        event.text = describe(object);
        if (event.isOwn && !event.worker.empty()) {
            m_workers.insert(event.worker);
        }
        m_events.push_back(std::move(event));
    } catch (const json::exception &) {
        // Only counted: the caller reports the number of unreadable lines.
        ++m_unreadable;
    }
}

std::vector<LogTimeline::Event> LogTimeline::relevantEvents() const
{
    std::vector<Event> events = m_events;
    std::ranges::stable_sort(events, {}, &Event::time);
    const auto first = std::ranges::find_if(events, &Event::isOwn);
    const auto last = std::find_if(events.rbegin(), events.rend(), [](const Event &it) {
                          return it.isOwn;
                      }).base();
    if (first == events.end()) {
        return {};
    }
    std::vector<Event> result;
    // The last owner change before the first event with the id names the owner at that time.
    const auto ownerChange =
        std::find_if(std::make_reverse_iterator(first), events.rend(),
                     [](const Event &it) { return it.text.starts_with("owner serves"); });
    if (ownerChange != events.rend()) {
        result.push_back(*ownerChange);
    }
    std::copy_if(first, last, std::back_inserter(result), [this](const Event &it) {
        return it.isOwn || it.isContext || m_workers.contains(it.worker);
    });
    return result;
}

std::string LogTimeline::text(std::size_t maxLines) const
{
    const std::vector<Event> events = relevantEvents();
    std::string text;
    const std::size_t half = maxLines / 2;
    for (std::size_t i = 0; i < events.size(); ++i) {
        const Event &event = events[i];
        if (events.size() > maxLines && i >= half && i < events.size() - half) {
            if (i == half) {
                text += "... " + std::to_string(events.size() - 2 * half) + " lines left out\n";
            }
            continue;
        }
        const auto clock = event.time.find('T');
        text += clock == std::string::npos ? event.time : event.time.substr(clock + 1);
        text += " " + event.process + " " + event.text + "\n";
    }
    return text;
}

} // namespace firefly
