#pragma once

namespace firefly::ctl {

/// Exit codes of fireflyctl, as in its help text.
enum class ExitCode {
    Done = 0,
    Failed = 1,   ///< An answer that is not understood.
    BadInput = 2, ///< Command line, findings, malformed body.
    Conflict = 3, ///< Another edit came first.
    TryAgain = 4, ///< Not reached, log down, or not in force in time.
    NotFound = 5, ///< Unknown id.
    Refused = 6,  ///< No or wrong token, or refused for good.
};

/// Exit code for an HTTP status of the operator address.
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
