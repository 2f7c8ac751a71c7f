#pragma once

#include "CellLease/CellElection.h"

#include <stdexcept>
#include <string>
#include <string_view>

namespace firefly {

/// A claim that can't be decoded.
class ClaimRecordError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Record of a cell's ownership topic, as JSON.
std::string encodeClaim(const OwnershipClaim &claim);
/// \throws ClaimRecordError
OwnershipClaim decodeClaim(std::string_view bytes);

} // namespace firefly
