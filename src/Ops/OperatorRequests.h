#pragma once

#include "Config/Lists.h"
#include "Ops/OperatorMessages.h"

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace firefly::internal {

/// Thrown for a request body that cannot be read.
class BadRequest : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// What a request on the operator address asks for.
enum class OperatorAction {
    ShowPlans,
    ShowLimits,
    EditPlans,
    EditLimits,
    ShowInForce,
    Drain,
    Dump,
    Metrics,
    SubmitJob,
    ShowJob,
    CancelJob,
    SwitchPlannedWork,
    ExplainJob,
    ExplainWorker,
    WrongMethod, ///< The path exists, with other methods.
    NotFound,
};

/// An action with the id that the path names, if any.
struct OperatorRoute
{
    OperatorAction action = OperatorAction::NotFound;
    std::string id;
};

OperatorRoute findRoute(std::string_view method, std::string_view path);

/// Compares the `Authorization` header with \a token in time that depends on lengths only.
bool isAuthorised(std::string_view header, std::string_view token);

/// Record of an edit of \a List.
template <typename List>
struct EditedRecord;
template <>
struct EditedRecord<PlansList>
{
    using Type = PlansEdited;
};
template <>
struct EditedRecord<LimitsList>
{
    using Type = LimitsEdited;
};

/// Reads `{"base": N, "author": "...", "yaml": "..."}`, with an optional "file" for findings to
/// show.
///
/// A list that is valid alone is let through even if it does not fit the other list in force here:
/// this entry may lag, and the fold decides.
/// \throws BadRequest, ListError
template <typename List>
typename EditedRecord<List>::Type readEdit(std::string_view body, const ListsVersion &lists);

/// All findings of the list in \a body, which the fold refused as invalid; at least one.
/// \throws BadRequest
template <typename List>
std::vector<Finding> editFindings(std::string_view body, const ListsVersion &lists);

/// Reads `{"job": "...", "customer": "...", "kind": "...", "resources": {...}, "runtimeMs": N,
/// "payload": "..."}`; "job" and "payload" may be absent.
/// \throws BadRequest
JobSubmission readJobSubmission(std::string_view body);

/// Reads `{"author": "...", "customer": "...", "kind": "...", "running": BOOL}`.
/// \throws BadRequest
PlannedWorkSwitched readPlannedWork(std::string_view body);

} // namespace firefly::internal
