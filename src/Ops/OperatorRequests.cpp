#include "Ops/OperatorRequests.h"

#include "Config/Name.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <type_traits>

namespace firefly::internal {
namespace {

constexpr std::size_t MaxAuthorLength = 64;
constexpr std::size_t MaxIdLength = 128;
constexpr std::string_view BearerPrefix = "Bearer ";

/// One reachable method and path; a path that ends in '/' is followed by an id.
struct RouteRule
{
    std::string_view method;
    std::string_view path;
    OperatorAction action;
};

constexpr std::array Rules = {
    RouteRule{"GET", "/ops/lists/plans", OperatorAction::ShowPlans},
    RouteRule{"PUT", "/ops/lists/plans", OperatorAction::EditPlans},
    RouteRule{"GET", "/ops/lists/limits", OperatorAction::ShowLimits},
    RouteRule{"PUT", "/ops/lists/limits", OperatorAction::EditLimits},
    RouteRule{"GET", "/ops/inforce", OperatorAction::ShowInForce},
    RouteRule{"POST", "/ops/drain", OperatorAction::Drain},
    RouteRule{"GET", "/ops/dump", OperatorAction::Dump},
    RouteRule{"GET", "/ops/metrics", OperatorAction::Metrics},
    RouteRule{"POST", "/ops/jobs", OperatorAction::SubmitJob},
    RouteRule{"GET", "/ops/jobs/", OperatorAction::ShowJob},
    RouteRule{"DELETE", "/ops/jobs/", OperatorAction::CancelJob},
    RouteRule{"POST", "/ops/planned", OperatorAction::SwitchPlannedWork},
    RouteRule{"GET", "/ops/explain/job/", OperatorAction::ExplainJob},
    RouteRule{"GET", "/ops/explain/worker/", OperatorAction::ExplainWorker},
};

bool isId(std::string_view text)
{
    return !text.empty() && text.size() <= MaxIdLength && text.find('/') == std::string_view::npos;
}

bool matches(const RouteRule &rule, std::string_view path)
{
    if (!rule.path.ends_with('/')) {
        return path == rule.path;
    }
    return path.starts_with(rule.path) && isId(path.substr(rule.path.size()));
}

nlohmann::json parseObject(std::string_view body)
{
    auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        throw BadRequest("body is not a JSON object");
    }
    return json;
}

void refuseUnknownKeys(const nlohmann::json &json, std::initializer_list<std::string_view> known)
{
    for (const auto &it : json.items()) {
        if (std::find(known.begin(), known.end(), it.key()) == known.end()) {
            throw BadRequest("unknown key \"" + it.key() + "\"");
        }
    }
}

std::string readText(const nlohmann::json &json, const std::string &key)
{
    const auto it = json.find(key);
    if (it == json.end() || !it->is_string()) {
        throw BadRequest("\"" + key + "\" must be a text");
    }
    return it->get<std::string>();
}

std::string readOptionalText(const nlohmann::json &json, const std::string &key)
{
    return json.contains(key) ? readText(json, key) : std::string();
}

std::string readName(const nlohmann::json &json, const std::string &key)
{
    std::string text = readText(json, key);
    if (!isName(text)) {
        throw BadRequest("\"" + key + "\": " + std::string(NameRule));
    }
    return text;
}

std::int64_t readCount(const nlohmann::json &json, const std::string &key)
{
    const auto it = json.find(key);
    if (it == json.end() || !it->is_number_integer() || it->get<std::int64_t>() < 0) {
        throw BadRequest("\"" + key + "\" must be a whole number, not negative");
    }
    return it->get<std::int64_t>();
}

std::int64_t readOptionalCount(const nlohmann::json &json, const std::string &key)
{
    return json.contains(key) ? readCount(json, key) : 0;
}

bool isControl(char c)
{
    return static_cast<unsigned char>(c) < ' ';
}

std::string readAuthor(const nlohmann::json &json)
{
    std::string author = readText(json, "author");
    const bool hasControl = std::any_of(author.begin(), author.end(), isControl);
    if (author.empty() || author.size() > MaxAuthorLength || hasControl) {
        throw BadRequest("\"author\" must have 1 to 64 printable characters");
    }
    return author;
}

/// The body of an edit, with the list still as YAML.
struct EditBody
{
    Offset base = 0;
    std::string author;
    std::string file; ///< Name that findings show.
    std::string yaml;
};

EditBody readEditBody(std::string_view body)
{
    const nlohmann::json json = parseObject(body);
    refuseUnknownKeys(json, {"base", "author", "file", "yaml"});
    EditBody edit;
    edit.base = static_cast<Offset>(readCount(json, "base"));
    edit.author = readAuthor(json);
    edit.file = json.contains("file") ? readText(json, "file") : "list.yaml";
    edit.yaml = readText(json, "yaml");
    return edit;
}

template <typename List>
List parseAlone(const EditBody &edit)
{
    if constexpr (std::is_same_v<List, PlansList>) {
        return parsePlans(edit.yaml, edit.file);
    } else {
        return parseLimits(edit.yaml, edit.file);
    }
}

/// Checks the list of \a edit against the other one of \a lists.
template <typename List>
void parseAgainst(const EditBody &edit, const ListsVersion &lists)
{
    if constexpr (std::is_same_v<List, PlansList>) {
        parsePlans(edit.yaml, edit.file, &lists.limits.list);
    } else {
        parseLimits(edit.yaml, edit.file, &lists.plans.list);
    }
}

Resources readResources(const nlohmann::json &json)
{
    const auto it = json.find("resources");
    if (it == json.end() || !it->is_object()) {
        throw BadRequest("\"resources\" must be an object");
    }
    refuseUnknownKeys(*it, {"milliProcessors", "memoryMiB", "accelerators", "slots"});
    Resources resources;
    resources.milliProcessors = readCount(*it, "milliProcessors");
    resources.memoryMiB = readCount(*it, "memoryMiB");
    resources.accelerators = readOptionalCount(*it, "accelerators");
    resources.slots = readOptionalCount(*it, "slots");
    return resources;
}

} // namespace

OperatorRoute findRoute(std::string_view method, std::string_view path)
{
    OperatorRoute route;
    for (const RouteRule &it : Rules) {
        if (!matches(it, path)) {
            continue;
        }
        if (it.method != method) {
            route.action = OperatorAction::WrongMethod;
            continue;
        }
        route.action = it.action;
        if (it.path.ends_with('/')) {
            route.id = path.substr(it.path.size());
        }
        return route;
    }
    return route;
}

bool isAuthorised(std::string_view header, std::string_view token)
{
    if (token.empty() || !header.starts_with(BearerPrefix)) {
        return false;
    }
    const std::string_view given = header.substr(BearerPrefix.size());
    if (given.size() != token.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < token.size(); ++i) {
        difference |= static_cast<unsigned char>(given[i]) ^ static_cast<unsigned char>(token[i]);
    }
    return difference == 0;
}

template <typename List>
typename EditedRecord<List>::Type readEdit(std::string_view body, const ListsVersion &lists)
{
    const EditBody edit = readEditBody(body);
    try {
        return {edit.author, edit.base, parseAlone<List>(edit)};
    } catch (const ListError &) {
        parseAgainst<List>(edit, lists); // Throws the findings against the other list too.
        throw;
    }
}

template <typename List>
std::vector<Finding> editFindings(std::string_view body, const ListsVersion &lists)
{
    const EditBody edit = readEditBody(body);
    try {
        parseAgainst<List>(edit, lists);
    } catch (const ListError &e) {
        return e.findings();
    }
    return {Finding{edit.file, 1, 1, "(file)", "the other list has changed meanwhile; try again"}};
}

template PlansEdited readEdit<PlansList>(std::string_view, const ListsVersion &);
template LimitsEdited readEdit<LimitsList>(std::string_view, const ListsVersion &);
template std::vector<Finding> editFindings<PlansList>(std::string_view, const ListsVersion &);
template std::vector<Finding> editFindings<LimitsList>(std::string_view, const ListsVersion &);

JobSubmission readJobSubmission(std::string_view body)
{
    const nlohmann::json json = parseObject(body);
    refuseUnknownKeys(json, {"job", "customer", "kind", "resources", "runtimeMs", "payload"});
    JobSubmission submission;
    if (json.contains("job")) {
        submission.job = JobId(readName(json, "job"));
    }
    submission.spec.customer = CustomerId(readName(json, "customer"));
    submission.spec.kind = readName(json, "kind");
    submission.spec.resources = readResources(json);
    submission.spec.runtimeMs = readCount(json, "runtimeMs");
    submission.spec.payload = readOptionalText(json, "payload");
    return submission;
}

PlannedWorkSwitched readPlannedWork(std::string_view body)
{
    const nlohmann::json json = parseObject(body);
    refuseUnknownKeys(json, {"author", "customer", "kind", "running"});
    const auto it = json.find("running");
    if (it == json.end() || !it->is_boolean()) {
        throw BadRequest("\"running\" must be true or false");
    }
    PlannedWorkSwitched planned;
    planned.author = readAuthor(json);
    planned.customer = CustomerId(readName(json, "customer"));
    planned.kind = readName(json, "kind");
    planned.running = it->get<bool>();
    return planned;
}

} // namespace firefly::internal
