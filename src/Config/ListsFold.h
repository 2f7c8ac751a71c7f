#pragma once

#include "Records/Fold.h"
#include "Records/Record.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace firefly {

/// A list with the offset of the record that put it in force; version 0 is the empty list.
template <typename List>
struct ListVersion
{
    Offset version = 0;
    std::string author;
    List list;

    bool operator==(const ListVersion &) const = default;
};

/// Both lists as they stood at one point of the log.
struct ListsVersion
{
    ListVersion<PlansList> plans;
    ListVersion<LimitsList> limits;

    bool operator==(const ListsVersion &) const = default;
};

void to_json(nlohmann::json &json, const ListsVersion &value);
void from_json(const nlohmann::json &json, ListsVersion &value);

/// An edit that lost against another one on the same base version.
template <typename List>
struct EditConflict
{
    Offset base = 0;          ///< Version the refused edit was based on.
    List yours;               ///< The refused edit.
    ListVersion<List> theirs; ///< The newest accepted version.
};

/// The two operator lists as a fold over the log, and what is in force on this entry.
///
/// The fold proper depends on the log alone.  Next to it stands the newest pair adopted from a
/// peer, for an entry that is cut from the log.  In force is whichever is newer; it never goes
/// back, not by a later read of the same records and not by loading an older snapshot.
class ListsFold
{
public:
    /// Accepts an edit that is valid and based on the newest version of its list in the log.
    FoldVerdict apply(Offset offset, const PlansEdited &record);
    FoldVerdict apply(Offset offset, const LimitsEdited &record);

    /// Takes the pair that a peer has in force.
    /// \returns true when it put a newer pair in force; an older, mixed or invalid one is refused.
    bool adopt(const ListsVersion &peers);

    /// The pair in force, for queries and for passing on to peers.
    const ListsVersion &inForce() const;
    const PlansList &plans() const { return inForce().plans.list; }
    const LimitsList &limits() const { return inForce().limits.list; }
    Offset plansVersion() const { return inForce().plans.version; }
    Offset limitsVersion() const { return inForce().limits.version; }

    /// Plan that \a customer holds; null when it holds none.
    const std::string *planOf(const CustomerId &customer) const;
    /// What \a customer may use; null when it holds no plan.
    const PlanLimits *limitsOf(const CustomerId &customer) const;

    /// Both versions of an edit that apply() refused with FoldVerdict::Conflict.
    EditConflict<PlansList> conflict(const PlansEdited &refused) const;
    EditConflict<LimitsList> conflict(const LimitsEdited &refused) const;

    /// The fold proper, a function of the log alone.
    nlohmann::json save() const;
    /// Replaces the fold proper by a saved one; what is in force does not go back.
    /// \throws nlohmann::json::exception when \a saved is malformed; the state is then unchanged.
    void load(const nlohmann::json &saved);

    nlohmann::json dump() const;

private:
    ListsVersion m_logged;  ///< From the log alone.
    ListsVersion m_adopted; ///< Newest pair from a peer or from before a load.
};

} // namespace firefly
