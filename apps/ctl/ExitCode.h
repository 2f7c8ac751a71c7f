#pragma once

namespace firefly::ctl {

/// Exit codes of fireflyctl; its help text lists them.
enum class ExitCode {
    Done = 0,
    Failed = 1,   ///< Unexpected reply or internal error.
    BadInput = 2, ///< Invalid command line, list or request body.
    Conflict = 3, ///< The list has been edited since the base version.
    TryAgain = 4, ///< No entry reachable, log unavailable, or not in force before the timeout.
    NotFound = 5, ///< Unknown identifier.
    Refused = 6,  ///< Missing or wrong token, or permanently refused.
};

/// Maps an HTTP status of the operator API to an exit code.
constexpr ExitCode exitCodeOf(int status)
{
    switch (status) {
    case 200:
        return ExitCode::Done;
    case 400:
    case 413:
    case 422:
        return ExitCode::BadInput;
    case 401:
    case 403:
        return ExitCode::Refused;
    case 404:
        return ExitCode::NotFound;
    case 409:
        return ExitCode::Conflict;
    case 429:
    case 503:
        return ExitCode::TryAgain;
    default:
        return ExitCode::Failed;
    }
}

} // namespace firefly::ctl
