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
    bool isJson = false; ///< The entry's reply as it is, for scripts.
};

/// `lists edit`: where the new list comes from, and what happens after.
struct EditOptions
{
    std::string list; ///< "plans" or "limits".
    std::string author;
    std::optional<std::string> file;
    std::vector<std::string> changes; ///< Used without a file.
    std::optional<Offset> base;
    bool wait = false;
    Duration waitTimeout{};
};

/// `job submit`.
struct SubmitOptions
{
    std::string customer;
    std::string kind;
    std::string id; ///< Empty: the entry chooses.
    std::int64_t milliProcessors = 0;
    std::int64_t memoryMiB = 0;
    std::int64_t accelerators = 0;
    std::int64_t runtimeMs = 0;
    std::string payload;
};

ExitCode showList(const OperatorClient &client, const std::string &list, Output output);
ExitCode editList(const OperatorClient &client, const EditOptions &options, Output output);
ExitCode submitJob(const OperatorClient &client, const SubmitOptions &options, Output output);
/// Shows only the result of a job; TryAgain while there is none.
ExitCode showResult(const OperatorClient &client, const std::string &job, Output output);
ExitCode switchPlannedWork(const OperatorClient &client, const std::string &author,
                           const std::string &customer, const std::string &kind, bool running,
                           Output output);
/// Tells the story of \a id from the log lines in \a file, or of standard input when it is empty.
ExitCode explainLog(const std::string &id, const std::string &file, std::size_t mostLines,
                    Output output);
/// Sends a request without a body and shows the reply.
ExitCode simpleRequest(const OperatorClient &client, const std::string &method,
                       const std::string &path, Output output);

} // namespace firefly::ctl
