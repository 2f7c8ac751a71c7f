#pragma once

#include "CellLease/CellElection.h"

#include <stdexcept>
#include <string>
#include <string_view>

namespace firefly {

/// Thrown for a claim that can't be decoded.
class ClaimRecordError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Encodes a record of a cell's ownership topic as JSON.
std::string encodeClaim(const OwnershipClaim &claim);
/// Decodes a record of encodeClaim().
/// \throws ClaimRecordError if a field is missing or malformed.
OwnershipClaim decodeClaim(std::string_view bytes);

} // namespace firefly
