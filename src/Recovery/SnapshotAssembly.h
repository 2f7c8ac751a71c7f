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

/// A snapshot of which every part was read.
struct CompleteSnapshot
{
    std::string name;
    Offset covers = 0;
    std::string text;
};

/// Puts the parts of snapshots together as they are read from the log, in any order and repeated.
///
/// Holds the newest complete snapshot and a bounded number of incomplete ones.
class SnapshotAssembly
{
public:
    /// Incomplete snapshots held; the one with the oldest coverage is dropped first.
    static constexpr std::size_t MaxIncomplete = 8;
    /// Parts of one snapshot at most.
    static constexpr std::uint32_t MaxParts = 10'000;

    /// Notes \a part; true when it completed a snapshot that is newer than newest().
    bool add(const SnapshotPart &part);
    /// The complete snapshot with the largest coverage so far.
    const std::optional<CompleteSnapshot> &newest() const { return m_newest; }
    /// Drops newest(), and ignores its parts from now on.
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
    Incomplete &incomplete(const SnapshotPart &part);
    void complete(const std::string &name);
    void dropOldest();

    std::set<std::string> m_rejected;
    std::map<std::string, Incomplete> m_incomplete;
    std::optional<CompleteSnapshot> m_newest;
};

} // namespace firefly
