#pragma once

#include "Core/VmCapacity.h"

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

std::string encodeCapacity(const VmCapacity &capacity);
/// \throws ClaimRecordError if a field is missing or malformed.
VmCapacity decodeCapacity(std::string_view bytes);

} // namespace firefly
