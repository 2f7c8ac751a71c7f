#include "ctl/Screen.h"

#include "Config/Lists.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace firefly::ctl {
namespace {

constexpr std::size_t IndentStep = 2;

std::string_view removeFirstLine(std::string_view &text)
{
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return line;
}

/// End of the longest prefix of \a line that fits the screen and ends at a space after \a indent;
/// without such a space, the end of the first word.
std::size_t findLineBreak(std::string_view line, std::size_t indent)
{
    if (line.size() <= ScreenWidth) {
        return line.size();
    }
    const std::size_t last = line.rfind(' ', ScreenWidth);
    if (last != std::string_view::npos && last > indent) {
        return last;
    }
    return std::min(line.find(' ', ScreenWidth), line.size());
}

std::string wrapLine(std::string_view line)
{
    const std::size_t indent = std::min(line.find_first_not_of(' '), line.size());
    std::string rest(line);
    std::string text;
    while (true) {
        const std::size_t end = findLineBreak(rest, rest.find_first_not_of(' '));
        text += rest.substr(0, end) + "\n";
        const std::size_t next = rest.find_first_not_of(' ', end);
        if (end == rest.size() || next == std::string::npos) {
            return text;
        }
        rest = std::string(indent + IndentStep, ' ') + rest.substr(next);
    }
}

std::string formatScalar(const nlohmann::json &json)
{
    const bool isPlain = json.is_string() && !json.get_ref<const std::string &>().empty();
    return isPlain ? json.get<std::string>() : json.dump();
}

void appendOutline(const nlohmann::json &json, std::size_t indent, std::string &text)
{
    const std::string indentation(indent, ' ');
    for (const auto &it : json.items()) {
        const std::string label = json.is_array() ? "-" : it.key() + ":";
        if (!it.value().is_structured()) {
            text += indentation + label + " " + formatScalar(it.value()) + "\n";
            continue;
        }
        if (it.value().empty()) {
            text += indentation + label + " none\n";
            continue;
        }
        text += indentation + label + "\n";
        appendOutline(it.value(), indent + IndentStep, text);
    }
}

/// Entries of a list as YAML, by name.
std::map<std::string, std::string> entriesOf(const std::string &list, const std::string &text)
{
    if (list == "plans") {
        return parsePlans(text, list).planOfCustomer;
    }
    std::map<std::string, std::string> entries;
    for (const auto &[plan, limits] : parseLimits(text, list).limitsOfPlan) {
        std::string yaml = toYaml(LimitsList{{{plan, limits}}});
        yaml.erase(0, yaml.find("    ")); // Removes the two lines that name list and plan.
        yaml.pop_back();
        entries[plan] = "\n" + yaml;
    }
    return entries;
}

std::string textOfEntry(const std::map<std::string, std::string> &entries, const std::string &name)
{
    const auto it = entries.find(name);
    return it == entries.end() ? "(not in the list)" : it->second;
}

} // namespace

std::string wrapText(std::string_view text)
{
    std::string result;
    while (!text.empty()) {
        result += wrapLine(removeFirstLine(text));
    }
    return result;
}

std::string formatOutline(const nlohmann::json &json)
{
    if (!json.is_structured()) {
        return wrapText(formatScalar(json));
    }
    std::string text;
    appendOutline(json, 0, text);
    return wrapText(text);
}

std::string formatConflict(const std::string &list, const nlohmann::json &reply)
{
    const nlohmann::json &theirs = reply.at("theirs");
    const auto theirEntries = entriesOf(list, theirs.at("yaml").get<std::string>());
    const auto yourEntries = entriesOf(list, reply.at("yours").get<std::string>());
    std::string text = "conflict: " + list + " was changed meanwhile\n";
    text += "your base: " + reply.at("base").dump() + "\n";
    text += "newest: " + theirs.at("version").dump() + " by "
            + theirs.at("author").get<std::string>() + "\n";
    std::set<std::string> names;
    for (const auto &[name, entry] : theirEntries) {
        names.insert(name);
    }
    for (const auto &[name, entry] : yourEntries) {
        names.insert(name);
    }
    for (const std::string &it : names) {
        const std::string theirText = textOfEntry(theirEntries, it);
        const std::string yourText = textOfEntry(yourEntries, it);
        if (theirText == yourText) {
            continue;
        }
        text.append(it).append("\n  theirs: ").append(theirText);
        text.append("\n  yours: ").append(yourText).append("\n");
    }
    return wrapText(text);
}

std::string formatFindings(const nlohmann::json &reply)
{
    std::string text;
    for (const nlohmann::json &it : reply.at("findings")) {
        text += it.at("file").get<std::string>() + ":" + it.at("line").dump() + "\n  "
                + it.at("field").get<std::string>() + "\n  " + it.at("message").get<std::string>()
                + "\n";
    }
    return wrapText(text);
}

} // namespace firefly::ctl
