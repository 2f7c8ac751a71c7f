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

/// A supported method and path; a path that ends in '/' is followed by an id.
struct Route
{
    std::string_view method;
    std::string_view path;
    OperatorAction action;
};

constexpr std::array Routes = {
    Route{"GET", "/ops/lists/plans", OperatorAction::ShowPlans},
    Route{"PUT", "/ops/lists/plans", OperatorAction::EditPlans},
    Route{"GET", "/ops/lists/limits", OperatorAction::ShowLimits},
    Route{"PUT", "/ops/lists/limits", OperatorAction::EditLimits},
    Route{"GET", "/ops/inforce", OperatorAction::ShowInForce},
    Route{"POST", "/ops/drain", OperatorAction::Drain},
    Route{"GET", "/ops/dump", OperatorAction::Dump},
    Route{"GET", "/ops/metrics", OperatorAction::Metrics},
    Route{"POST", "/ops/jobs", OperatorAction::SubmitJob},
    Route{"GET", "/ops/jobs/", OperatorAction::ShowJob},
    Route{"DELETE", "/ops/jobs/", OperatorAction::CancelJob},
    Route{"POST", "/ops/planned", OperatorAction::SwitchPlannedWork},
    Route{"GET", "/ops/explain/job/", OperatorAction::ExplainJob},
    Route{"GET", "/ops/explain/worker/", OperatorAction::ExplainWorker},
};

bool isId(std::string_view text)
{
    return !text.empty() && text.size() <= MaxIdLength && text.find('/') == std::string_view::npos;
}

bool matches(const Route &route, std::string_view path)
{
    if (!route.path.ends_with('/')) {
        return path == route.path;
    }
    return path.starts_with(route.path) && isId(path.substr(route.path.size()));
}

nlohmann::json parseObject(std::string_view body)
{
    auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        throw BadRequest("body is not a JSON object");
    }
    return json;
}

void rejectUnknownKeys(const nlohmann::json &json, std::initializer_list<std::string_view> known)
{
    for (const auto &it : json.items()) {
        if (std::find(known.begin(), known.end(), it.key()) == known.end()) {
            throw BadRequest("unknown key \"" + it.key() + "\"");
        }
    }
}

std::string readString(const nlohmann::json &json, const std::string &key)
{
    const auto it = json.find(key);
    if (it == json.end() || !it->is_string()) {
        throw BadRequest("\"" + key + "\" must be a text");
    }
    return it->get<std::string>();
}

std::string readOptionalString(const nlohmann::json &json, const std::string &key)
{
    return json.contains(key) ? readString(json, key) : std::string();
}

std::string readName(const nlohmann::json &json, const std::string &key)
{
    std::string text = readString(json, key);
    if (!isValidName(text)) {
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

bool isControlCharacter(char c)
{
    return static_cast<unsigned char>(c) < ' ';
}

std::string readAuthor(const nlohmann::json &json)
{
    std::string author = readString(json, "author");
    const bool hasControlCharacter = std::any_of(author.begin(), author.end(), isControlCharacter);
    if (author.empty() || author.size() > MaxAuthorLength || hasControlCharacter) {
        throw BadRequest("\"author\" must have 1 to 64 printable characters");
    }
    return author;
}

/// The body of an edit, with the list still as YAML.
struct EditBody
{
    Offset base = 0;
    std::string author;
    std::string file; ///< File name shown in findings.
    std::string yaml;
};

EditBody readEditBody(std::string_view body)
{
    const nlohmann::json json = parseObject(body);
    rejectUnknownKeys(json, {"base", "author", "file", "yaml"});
    EditBody edit;
    edit.base = static_cast<Offset>(readCount(json, "base"));
    edit.author = readAuthor(json);
    edit.file = json.contains("file") ? readString(json, "file") : "list.yaml";
    edit.yaml = readString(json, "yaml");
    return edit;
}

template <typename List>
List parseStandalone(const EditBody &edit)
{
    if constexpr (std::is_same_v<List, PlansList>) {
        return parsePlans(edit.yaml, edit.file);
    } else {
        return parseLimits(edit.yaml, edit.file);
    }
}

/// Checks the list of \a edit, also against the other one of \a lists.
/// \throws ListError
template <typename List>
void checkAgainstOther(const EditBody &edit, const OperatorLists &lists)
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
    rejectUnknownKeys(*it, {"milliProcessors", "memoryMiB", "accelerators", "slots"});
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
    for (const Route &it : Routes) {
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
typename EditedRecord<List>::Type readEdit(std::string_view body, const OperatorLists &lists)
{
    const EditBody edit = readEditBody(body);
    try {
        return {edit.author, edit.base, parseStandalone<List>(edit)};
    } catch (const ListError &) {
        checkAgainstOther<List>(edit, lists); // Throws with findings on the other list as well.
        throw;
    }
}

template <typename List>
std::vector<Finding> editFindings(std::string_view body, const OperatorLists &lists)
{
    const EditBody edit = readEditBody(body);
    try {
        checkAgainstOther<List>(edit, lists);
    } catch (const ListError &e) {
        return e.findings();
    }
    return {Finding{edit.file, 1, 1, "(file)", "the other list has changed meanwhile; try again"}};
}

template PlansEdited readEdit<PlansList>(std::string_view, const OperatorLists &);
template LimitsEdited readEdit<LimitsList>(std::string_view, const OperatorLists &);
template std::vector<Finding> editFindings<PlansList>(std::string_view, const OperatorLists &);
template std::vector<Finding> editFindings<LimitsList>(std::string_view, const OperatorLists &);

JobSubmission readJobSubmission(std::string_view body)
{
    const nlohmann::json json = parseObject(body);
    rejectUnknownKeys(json, {"job", "customer", "kind", "resources", "runtimeMs", "payload"});
    JobSubmission submission;
    if (json.contains("job")) {
        submission.job = JobId(readName(json, "job"));
    }
    submission.spec.customer = CustomerId(readName(json, "customer"));
    submission.spec.kind = readName(json, "kind");
    submission.spec.resources = readResources(json);
    submission.spec.runtimeMs = readCount(json, "runtimeMs");
    submission.spec.payload = readOptionalString(json, "payload");
    return submission;
}

PlannedWorkSwitched readPlannedWork(std::string_view body)
{
    const nlohmann::json json = parseObject(body);
    rejectUnknownKeys(json, {"author", "customer", "kind", "running"});
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
