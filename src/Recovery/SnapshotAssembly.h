#pragma once

#include "Core/Id.h"
#include "Records/Record.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
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

    /// Notes \a part; true when it completed a snapshot that is newer than newest().
    bool add(const SnapshotPart &part);
    /// The complete snapshot with the largest coverage so far.
    const std::optional<CompleteSnapshot> &newest() const { return m_newest; }
    void clear();

private:
    struct Incomplete
    {
        Offset covers = 0;
        std::vector<std::optional<std::string>> parts;
        std::size_t missing = 0;
    };

    void complete(const std::string &name, const Incomplete &snapshot);
    void dropOldest();

    std::map<std::string, Incomplete> m_incomplete;
    std::optional<CompleteSnapshot> m_newest;
};

} // namespace firefly
