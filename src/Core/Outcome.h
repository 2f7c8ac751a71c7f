#pragma once

#include <string_view>

namespace firefly {

/// Result reported to the caller of a request; each request gets exactly one.
enum class Outcome {
    Answer,  ///< Ran; the reply carries the complete answer.
    Failed,  ///< Ran; the backend server reported a failure.
    NotRun,  ///< Certainly did not run; the reply says when to retry.
    Unknown, ///< May have run; the system does not run it again.
};

/// Name of \a outcome in the `Firefly-Outcome` header.
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
