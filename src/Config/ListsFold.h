#pragma once

#include "Records/Fold.h"
#include "Records/Record.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace firefly {

/// A list and its version, the offset of the record that set it; 0 is the initial empty list.
template <typename List>
struct VersionedList
{
    Offset version = 0;
    std::string author;
    List list;

    bool operator==(const VersionedList &) const = default;
};

/// Both operator lists as of one offset of the log.
struct OperatorLists
{
    VersionedList<PlansList> plans;
    VersionedList<LimitsList> limits;

    bool operator==(const OperatorLists &) const = default;
};

void to_json(nlohmann::json &json, const OperatorLists &value);
void from_json(const nlohmann::json &json, OperatorLists &value);

/// An edit refused because a newer version of its list was accepted.
template <typename List>
struct EditConflict
{
    Offset base = 0;            ///< Version the refused edit was based on.
    List yours;                 ///< The refused edit.
    VersionedList<List> theirs; ///< The newest accepted version.
};

/// The operators' lists of plans and limits: computed from the log, and in force on this entry.
///
/// The state that is saved depends only on the log.  The newest lists adopted from a peer are kept
/// separately, for an entry that is disconnected from the log.  The newer of the two are in force.
/// Their versions never decrease, even when records are read again or an older snapshot is
/// loaded.
class ListsFold
{
public:
    /// Accepts an edit if it is valid and based on the newest version of its list in the log.
    FoldResult apply(Offset offset, const PlansEdited &record);
    FoldResult apply(Offset offset, const LimitsEdited &record);

    /// Adopts the lists that are in force on a peer, if they are newer and valid.
    /// \returns false if they are refused: a list is invalid or older, or neither is newer.
    bool adopt(const OperatorLists &peerLists);

    /// The lists in force, for queries and to send to peers.
    const OperatorLists &inForce() const;
    const PlansList &plans() const { return inForce().plans.list; }
    const LimitsList &limits() const { return inForce().limits.list; }
    Offset plansVersion() const { return inForce().plans.version; }
    Offset limitsVersion() const { return inForce().limits.version; }

    /// Plan of \a customer; nullptr when it has none.
    const std::string *planOf(const CustomerId &customer) const;
    /// Limits of the plan of \a customer; nullptr when it has no plan or the plan no limits.
    const PlanLimits *limitsOf(const CustomerId &customer) const;

    /// Both versions of an edit that apply() refused with FoldResult::Conflict.
    EditConflict<PlansList> conflict(const PlansEdited &refused) const;
    EditConflict<LimitsList> conflict(const LimitsEdited &refused) const;

    /// The state computed from the log, without the lists adopted from a peer.
    nlohmann::json save() const;
    /// Replaces the state computed from the log; lists in force that are newer stay in force.
    /// \throws nlohmann::json::exception when \a saved is malformed; the state is then unchanged.
    void load(const nlohmann::json &saved);

    nlohmann::json dump() const;

private:
    OperatorLists m_logged;  ///< Computed from the log only.
    OperatorLists m_adopted; ///< Newest lists from a peer, or in force before load().
};

} // namespace firefly
