#pragma once

#include <string_view>

namespace firefly {

/// What a caller is told about one request; each request gets exactly one.
enum class Outcome {
    Answer,  ///< Ran, and the whole answer is attached.
    Failed,  ///< Ran, and the backend server reported a failure.
    NotRun,  ///< Surely did not run; the reply says when to come back.
    Unknown, ///< May have run, and will not be run again by the system.
};

/// Wire name of \a outcome, as in the `Firefly-Outcome` header.
constexpr std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answer:
        return "answer";
    case Outcome::Failed:
        return "failed";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace firefly
