#pragma once

#include "Core/VmCapacity.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace firefly {

// Records of the fleet's directory.  The value of a cell's record is an encoded OwnershipClaim.

std::string vmRecordKey(std::string_view node);
std::string cellRecordKey(int cell);
/// The VM that the record with \a key describes, if it describes one.
std::optional<std::string> vmOfRecord(std::string_view key);
/// The cell that the record with \a key describes, if it describes one.
std::optional<int> cellOfRecord(std::string_view key);

/// What a VM announces of itself.
struct VmAnnouncement
{
    VmCapacity capacity;
    /// Start of the process by the clock of its VM; 0 if unknown, as from an earlier build.
    std::int64_t startedAtUnixMs = 0;

    bool operator==(const VmAnnouncement &) const = default;
};

std::string encodeAnnouncement(const VmAnnouncement &announcement);
/// \throws ClaimRecordError if a field is malformed, or one of the capacity missing.
VmAnnouncement decodeAnnouncement(std::string_view bytes);

} // namespace firefly
