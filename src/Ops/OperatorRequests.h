#pragma once

#include "Config/Lists.h"
#include "Ops/OperatorMessages.h"

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace firefly::internal {

/// Thrown when the body of a request is malformed.
class BadRequest : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Action that an operator request asks for.
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
    WrongMethod, ///< The path exists but does not allow the method.
    NotFound,
};

/// The action of a request and the id in its path, if any.
struct OperatorRoute
{
    OperatorAction action = OperatorAction::NotFound;
    std::string id;
};

OperatorRoute findRoute(std::string_view method, std::string_view path);

/// True if the `Authorization` header holds \a token; false if \a token is empty.
///
/// The time of the comparison depends only on the lengths.
bool isAuthorised(std::string_view header, std::string_view token);

/// Type of the record that edits \a List.
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

/// Reads `{"base": N, "author": "...", "yaml": "..."}`, with an optional "file", the file
/// name shown in findings.
///
/// A list that is valid by itself passes even if it contradicts the other list in force here: this
/// entry may lag behind the log, and the check that counts is made when the edit is read back.
/// \throws BadRequest, ListError
template <typename List>
typename EditedRecord<List>::Type readEdit(std::string_view body, const OperatorLists &lists);

/// All findings of the list in \a body, which was rejected as invalid when its edit was read back;
/// at least one.
/// \throws BadRequest
template <typename List>
std::vector<Finding> editFindings(std::string_view body, const OperatorLists &lists);

/// Reads `{"job": "...", "customer": "...", "kind": "...", "resources": {...}, "runtimeMs": N,
/// "payload": "..."}`; "job" and "payload" may be absent.
/// \throws BadRequest
JobSubmission readJobSubmission(std::string_view body);

/// Reads `{"author": "...", "customer": "...", "kind": "...", "running": BOOL}`.
/// \throws BadRequest
PlannedWorkSwitched readPlannedWork(std::string_view body);

} // namespace firefly::internal
