#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"
#include "ctl/ExitCode.h"
#include "ctl/OperatorClient.h"

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace firefly::ctl {

/// Where a command sends its output, and in which form.
struct Output
{
    std::ostream &out;
    bool isJson = false; ///< Prints the entry's JSON reply unchanged, for scripts.
};

/// Options of `lists edit`: the source of the new list, and whether to wait until it is in force.
struct EditOptions
{
    std::string list; ///< "plans" or "limits".
    std::string author;
    std::optional<std::string> file;
    std::vector<std::string> changes; ///< "KEY=VALUE" each; used if there is no file.
    std::optional<Offset> base;       ///< Base version of the edit; by default that of the source.
    bool wait = false;
    Duration waitTimeout{};
};

/// Options of `job submit`.
struct SubmitOptions
{
    std::string customer;
    std::string kind;
    std::string id; ///< Job identifier; if empty, the entry generates one.
    std::int64_t milliProcessors = 0;
    std::int64_t memoryMiB = 0;
    std::int64_t accelerators = 0;
    std::int64_t runtimeMs = 0;
    std::string payload;
};

/// Prints \a list as YAML below a line with its version.
ExitCode showList(const OperatorClient &client, const std::string &list, Output output);
/// Submits a new version of a list, and waits until it is in force if \a options say so.
ExitCode editList(const OperatorClient &client, const EditOptions &options, Output output);
/// Submits a batch job and prints the reply.
ExitCode submitJob(const OperatorClient &client, const SubmitOptions &options, Output output);
/// Prints only the result of a job; returns ExitCode::TryAgain while the job has not ended.
ExitCode showResult(const OperatorClient &client, const std::string &job, Output output);
/// Starts or stops the planned work of \a kind of a customer.
ExitCode switchPlannedWork(const OperatorClient &client, const std::string &author,
                           const std::string &customer, const std::string &kind, bool running,
                           Output output);
/// Prints the events of \a id, at most \a maxLines, from the log lines in \a file.
///
/// Reads standard input if \a file is empty.
ExitCode explainLog(const std::string &id, const std::string &file, std::size_t maxLines,
                    Output output);
/// Sends a request without a body and prints the reply.
ExitCode sendAndShow(const OperatorClient &client, const std::string &method,
                     const std::string &path, Output output);

} // namespace firefly::ctl
