/// \file The operators' command-line tool: parses the command line and runs one command.

#include "Config.h"
#include "ctl/Commands.h"
#include "ctl/ListChange.h"
#include "ctl/Screen.h"

#include <docopt/docopt.h>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>
#include <string>

namespace {

using namespace firefly;
using namespace firefly::ctl;

constexpr const char *Usage = R"(fireflyctl, the operators' tool.

Usage:
  fireflyctl [options] lists show
             (plans|limits)
  fireflyctl [options] lists edit
             (plans|limits)
             (--file F | (--set C)...)
             [--base N] [--wait]
             [--timeout S]
  fireflyctl [options] inforce
  fireflyctl [options] planned
             (start|stop)
             CUSTOMER KIND
  fireflyctl [options] job submit
             CUSTOMER KIND
             --processors N --memory M
             --runtime S
             [--accelerators N]
             [--payload TEXT] [--id ID]
  fireflyctl [options] job status ID
  fireflyctl [options] job result ID
  fireflyctl [options] job cancel ID
  fireflyctl [options] explain job ID
  fireflyctl [options] explain worker ID
  fireflyctl [options] explain log ID
             [--file F] [--lines N]
  fireflyctl [options] drain
  fireflyctl [options] dump
  fireflyctl [options] metrics
  fireflyctl --help

Options:
  --ops ADDRESS     IP:port of entries,
                    comma between them;
                    or FIREFLY_OPS.
  --token TOKEN     Or FIREFLY_TOKEN.
  --author NAME     Or FIREFLY_AUTHOR,
                    or USER.
  --json            Replies as JSON.
  --file F          The whole list, as
                    YAML; or the log,
                    else standard input.
  --lines N         Lines to show at
                    most [default: 40].
  --set C           CUSTOMER=PLAN or
                    PLAN.FIELD=VALUE;
                    nothing after '='
                    removes it.
  --base N          Version the edit is
                    based on; default:
                    as stated in the
                    file or list.
  --wait            Wait until in force
                    everywhere.
  --timeout S       For --wait
                    [default: 60].
  --processors N    Such as 4 or 0.5.
  --memory M        Such as 64GiB.
  --accelerators N  [default: 0].
  --runtime S       Declared, seconds.
  --payload TEXT    Passed to the job
                    unchanged.
  --id ID           Job id; makes a
                    retry safe.

Exit codes:
  0 done
  1 failed
  2 bad input
  3 conflict
  4 unreachable, try again
  5 not found
  6 refused, or no token
)";

constexpr std::int64_t MsPerSecond = 1000;

using Options = std::map<std::string, docopt::value>;

bool isSet(const Options &options, const std::string &name)
{
    return options.at(name).isBool() && options.at(name).asBool();
}

std::string optionText(const Options &options, const std::string &name,
                       const std::string &defaultValue = "")
{
    const docopt::value &value = options.at(name);
    return value.isString() ? value.asString() : defaultValue;
}

std::string environmentValue(const char *name, const std::string &defaultValue = "")
{
    const char *value = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return value == nullptr ? defaultValue : value;
}

std::int64_t requireNonNegative(std::optional<std::int64_t> value, const std::string &option)
{
    if (!value || *value < 0) {
        throw InvalidInput(option + " is not a valid non-negative amount");
    }
    return *value;
}

std::int64_t countOption(const Options &options, const std::string &name)
{
    return requireNonNegative(parseInteger(optionText(options, name)), name);
}

std::string listName(const Options &options)
{
    return isSet(options, "plans") ? "plans" : "limits";
}

std::string authorName(const Options &options)
{
    const std::string user = environmentValue("USER", "operator");
    return optionText(options, "--author", environmentValue("FIREFLY_AUTHOR", user));
}

EditOptions editOptions(const Options &options)
{
    EditOptions edit;
    edit.list = listName(options);
    edit.author = authorName(options);
    edit.changes = options.at("--set").asStringList();
    edit.wait = isSet(options, "--wait");
    edit.waitTimeout = std::chrono::seconds(countOption(options, "--timeout"));
    if (options.at("--file").isString()) {
        edit.file = options.at("--file").asString();
    }
    if (options.at("--base").isString()) {
        edit.base = static_cast<Offset>(countOption(options, "--base"));
    }
    return edit;
}

SubmitOptions submitOptions(const Options &options)
{
    SubmitOptions submit;
    submit.customer = optionText(options, "CUSTOMER");
    submit.kind = optionText(options, "KIND");
    submit.id = optionText(options, "--id");
    submit.milliProcessors = requireNonNegative(
        parseMilliProcessors(optionText(options, "--processors")), "--processors");
    submit.memoryMiB =
        requireNonNegative(parseMemoryMiB(optionText(options, "--memory")), "--memory");
    submit.accelerators = countOption(options, "--accelerators");
    submit.runtimeMs = countOption(options, "--runtime") * MsPerSecond;
    submit.payload = optionText(options, "--payload");
    return submit;
}

ExitCode runLists(const Options &options, const OperatorClient &client, Output output)
{
    if (isSet(options, "show")) {
        return showList(client, listName(options), output);
    }
    return editList(client, editOptions(options), output);
}

/// The ID argument; rejected unless it can be used in a URL path unescaped.
std::string pathId(const Options &options)
{
    std::string id = optionText(options, "ID");
    if (id.empty() || id.find_first_of("/?#% ") != std::string::npos) {
        throw InvalidInput("\"" + id + "\" is not a valid id");
    }
    return id;
}

ExitCode runJob(const Options &options, const OperatorClient &client, Output output)
{
    if (isSet(options, "submit")) {
        return submitJob(client, submitOptions(options), output);
    }
    const std::string id = pathId(options);
    if (isSet(options, "result")) {
        return showResult(client, id, output);
    }
    const std::string method = isSet(options, "cancel") ? "DELETE" : "GET";
    return sendAndShow(client, method, "/ops/jobs/" + id, output);
}

ExitCode run(const Options &options, const OperatorClient &client, Output output)
{
    if (isSet(options, "lists")) {
        return runLists(options, client, output);
    }
    if (isSet(options, "planned")) {
        return switchPlannedWork(client, authorName(options), optionText(options, "CUSTOMER"),
                                 optionText(options, "KIND"), isSet(options, "start"), output);
    }
    if (isSet(options, "explain")) {
        if (isSet(options, "log")) {
            return explainLog(optionText(options, "ID"), optionText(options, "--file"),
                              static_cast<std::size_t>(countOption(options, "--lines")), output);
        }
        const std::string kind = isSet(options, "worker") ? "worker/" : "job/";
        return sendAndShow(client, "GET", "/ops/explain/" + kind + pathId(options), output);
    }
    if (isSet(options, "job")) {
        return runJob(options, client, output);
    }
    if (isSet(options, "drain")) {
        if (!client.hasSingleAddress()) {
            throw InvalidInput("drain needs --ops with exactly one entry");
        }
        return sendAndShow(client, "POST", "/ops/drain", output);
    }
    for (const std::string name : {"inforce", "dump", "metrics"}) {
        if (isSet(options, name)) {
            return sendAndShow(client, "GET", "/ops/" + name, output);
        }
    }
    return ExitCode::BadInput;
}

ExitCode runReportingErrors(const Options &options)
{
    const OperatorClient client(optionText(options, "--ops", environmentValue("FIREFLY_OPS")),
                                optionText(options, "--token", environmentValue("FIREFLY_TOKEN")));
    try {
        return run(options, client, Output{std::cout, isSet(options, "--json")});
    } catch (const UnreachableError &e) {
        std::cerr << wrapText(std::string("no entry replied: ") + e.what());
        if (e.mayHaveTakenEffect()) {
            std::cerr << wrapText("It may have taken effect: check before you repeat it.");
        }
        return ExitCode::TryAgain;
    } catch (const FindingsError &e) {
        std::cerr << wrapText(e.what());
        return ExitCode::BadInput;
    } catch (const InvalidInput &e) {
        std::cerr << wrapText(e.what());
        return ExitCode::BadInput;
    } catch (const std::exception &e) {
        std::cerr << wrapText(std::string("failed: ") + e.what());
        return ExitCode::Failed;
    }
}

} // namespace

int main(int argc, char *argv[])
{
    Options options;
    try {
        options = docopt::docopt_parse(Usage, {argv + 1, argv + argc}, true, false);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << Usage;
        return static_cast<int>(ExitCode::Done);
    } catch (const std::exception &) {
        std::cerr << Usage;
        return static_cast<int>(ExitCode::BadInput);
    }
    return static_cast<int>(runReportingErrors(options));
}
