#include "ctl/Commands.h"

#include "ctl/InForceWait.h"
#include "ctl/ListChange.h"
#include "ctl/Screen.h"
#include "Ops/LogTimeline.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace firefly::ctl {
namespace {

constexpr std::string_view MayTakeEffectHint =
    "It may still take effect: check the current state before you repeat it.\n";

nlohmann::json parseBody(const ClientResponse &response)
{
    auto json = nlohmann::json::parse(response.body, nullptr, false);
    return json.is_discarded() ? nlohmann::json(response.body) : json;
}

void showFailure(const std::string &list, const nlohmann::json &json, Output output)
{
    if (!json.is_object()) {
        output.out << formatOutline(json);
    } else if (json.contains("findings")) {
        output.out << formatFindings(json);
    } else if (json.contains("theirs")) {
        output.out << formatConflict(list, json);
    } else if (json.contains("retryAfterS")) {
        output.out << wrapText("log unreachable; try again in " + json.at("retryAfterS").dump()
                               + " s");
        if (json.value("mayTakeEffect", false)) {
            output.out << wrapText(MayTakeEffectHint);
        }
    } else {
        output.out << wrapText(json.value("error", json.dump()));
    }
}

/// Shows \a response if the output is JSON or the request failed.
/// \returns true if the caller has nothing more to show.
bool showJsonOrFailure(const ClientResponse &response, const std::string &list, Output output)
{
    if (output.isJson) {
        output.out << response.body;
        return true;
    }
    if (exitCodeOf(response.status) == ExitCode::Done) {
        return false;
    }
    showFailure(list, parseBody(response), output);
    return true;
}

std::string readFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in.is_open()) {
        throw InvalidInput(path + " cannot be opened");
    }
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

/// A new version of a list, and the version that it is based on.
struct Edit
{
    Offset base = 0;
    std::string file;
    std::string yaml;
};

Edit editFromFile(const EditOptions &options)
{
    Edit edit;
    edit.file = *options.file;
    edit.yaml = readFile(edit.file);
    const auto base = options.base ? options.base : versionOf(edit.yaml);
    if (!base) {
        throw InvalidInput("give --base N, or a file whose first line is \"# version N\" as in "
                           "lists show");
    }
    edit.base = *base;
    return edit;
}

Edit editFromChanges(const ClientResponse &current, const EditOptions &options)
{
    const nlohmann::json json = parseBody(current);
    const auto yaml = json.at("yaml").get<std::string>();
    Edit edit;
    edit.base = options.base.value_or(json.at("version").get<Offset>());
    edit.file = "(changes)";
    edit.yaml = options.list == "plans" ? applyPlanChanges(yaml, options.changes)
                                        : applyLimitChanges(yaml, options.changes);
    return edit;
}

ExitCode sendEdit(const OperatorClient &client, const EditOptions &options, const Edit &edit,
                  Output output)
{
    const nlohmann::json body = {
        {"base", edit.base}, {"author", options.author}, {"file", edit.file}, {"yaml", edit.yaml}};
    const auto response = client.send("PUT", "/ops/lists/" + options.list, body.dump());
    const ExitCode code = exitCodeOf(response.status);
    const bool hasShownAll = (!options.wait || code != ExitCode::Done)
                             && showJsonOrFailure(response, options.list, output);
    if (hasShownAll || code != ExitCode::Done) {
        return code;
    }
    const auto version = parseBody(response).at("version").get<Offset>();
    if (!output.isJson) {
        output.out << options.list << " accepted: version " << version << "\n";
    }
    if (!options.wait) {
        return code;
    }
    return waitUntilInForce(client, options.list, version, options.waitTimeout, output);
}

} // namespace

ExitCode showList(const OperatorClient &client, const std::string &list, Output output)
{
    const auto response = client.send("GET", "/ops/lists/" + list);
    if (!showJsonOrFailure(response, list, output)) {
        const nlohmann::json json = parseBody(response);
        output.out << versionLine(json.at("version").get<Offset>())
                   << json.at("yaml").get<std::string>();
    }
    return exitCodeOf(response.status);
}

ExitCode editList(const OperatorClient &client, const EditOptions &options, Output output)
{
    if (options.file) {
        return sendEdit(client, options, editFromFile(options), output);
    }
    const auto current = client.send("GET", "/ops/lists/" + options.list);
    const ExitCode code = exitCodeOf(current.status);
    if (code != ExitCode::Done) {
        showJsonOrFailure(current, options.list, output);
        return code;
    }
    return sendEdit(client, options, editFromChanges(current, options), output);
}

ExitCode submitJob(const OperatorClient &client, const SubmitOptions &options, Output output)
{
    nlohmann::json body = {{"customer", options.customer},
                           {"kind", options.kind},
                           {"runtimeMs", options.runtimeMs},
                           {"payload", options.payload},
                           {"resources",
                            {{"milliProcessors", options.milliProcessors},
                             {"memoryMiB", options.memoryMiB},
                             {"accelerators", options.accelerators}}}};
    if (!options.id.empty()) {
        body["job"] = options.id;
    }
    const auto response = client.send("POST", "/ops/jobs", body.dump());
    if (!showJsonOrFailure(response, "", output)) {
        output.out << formatOutline(parseBody(response));
    }
    return exitCodeOf(response.status);
}

ExitCode showResult(const OperatorClient &client, const std::string &job, Output output)
{
    const auto response = client.send("GET", "/ops/jobs/" + job);
    const ExitCode code = exitCodeOf(response.status);
    if (showJsonOrFailure(response, "", output) && code != ExitCode::Done) {
        return code;
    }
    const nlohmann::json json = parseBody(response);
    const std::string state = json.value("state", "");
    const bool hasEnded = state == "finished" || state == "failed" || state == "cancelled";
    if (!output.isJson) {
        output.out << (hasEnded ? json.value("result", "") : "no result yet: " + state) << "\n";
    }
    return hasEnded ? ExitCode::Done : ExitCode::TryAgain;
}

ExitCode switchPlannedWork(const OperatorClient &client, const std::string &author,
                           const std::string &customer, const std::string &kind, bool running,
                           Output output)
{
    const nlohmann::json body = {
        {"author", author}, {"customer", customer}, {"kind", kind}, {"running", running}};
    const auto response = client.send("POST", "/ops/planned", body.dump());
    if (!showJsonOrFailure(response, "", output)) {
        output.out << wrapText(customer + " " + kind + (running ? " started" : " stopped"));
    }
    return exitCodeOf(response.status);
}

ExitCode explainLog(const std::string &id, const std::string &file, std::size_t maxLines,
                    Output output)
{
    std::ifstream fileStream;
    if (!file.empty()) {
        fileStream.open(file);
        if (!fileStream.is_open()) {
            throw InvalidInput(file + " cannot be opened");
        }
    }
    std::istream &in = file.empty() ? std::cin : fileStream;
    LogTimeline history(id);
    for (std::string line; std::getline(in, line);) {
        history.add(line);
    }
    const std::string text = history.text(maxLines);
    if (text.empty()) {
        output.out << "no log line mentions " << id << "\n";
        return ExitCode::NotFound;
    }
    output.out << text;
    if (history.unreadableLines() > 0) {
        output.out << "(" << history.unreadableLines() << " lines could not be parsed)\n";
    }
    return ExitCode::Done;
}

ExitCode sendAndShow(const OperatorClient &client, const std::string &method,
                     const std::string &path, Output output)
{
    const auto response = client.send(method, path);
    if (!showJsonOrFailure(response, "", output)) {
        output.out << formatOutline(parseBody(response));
    }
    return exitCodeOf(response.status);
}

} // namespace firefly::ctl
