#pragma once

#include "Core/Id.h"
#include "Records/Record.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace firefly {

/// A snapshot all of whose parts were read.
struct CompleteSnapshot
{
    std::string name;
    Offset covers = 0;
    std::string text;
};

/// Assembles snapshots from their parts, which may arrive in any order and repeatedly.
///
/// Keeps the newest complete snapshot and a bounded number of incomplete ones.
class SnapshotAssembly
{
public:
    /// Maximum number of incomplete snapshots; the one that covers the fewest records goes first.
    static constexpr std::size_t MaxIncomplete = 8;
    /// Maximum number of parts of one snapshot.
    static constexpr std::uint32_t MaxParts = 10'000;

    /// Adds \a part; true when it completed a snapshot newer than newest().
    bool add(const SnapshotPart &part);
    /// The complete snapshot that covers the most records; nullopt if there is none.
    const std::optional<CompleteSnapshot> &newest() const { return m_newest; }
    /// Removes newest(), and ignores its parts from now on.
    void rejectNewest();
    void clear();

private:
    struct Incomplete
    {
        Offset covers = 0;
        std::vector<std::optional<std::string>> parts;
        std::size_t missing = 0;
    };

    bool isUsable(const SnapshotPart &part) const;
    Incomplete &findOrCreate(const SnapshotPart &part);
    void finishSnapshot(const std::string &name);
    void dropOldest();

    std::set<std::string> m_rejected;
    std::map<std::string, Incomplete> m_incomplete;
    std::optional<CompleteSnapshot> m_newest;
};

} // namespace firefly
