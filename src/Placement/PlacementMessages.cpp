#include "Placement/PlacementMessages.h"

namespace firefly {

std::string_view toString(PlacementReason reason)
{
    switch (reason) {
    case PlacementReason::LowestSlowdown:
        return "lowest-slowdown";
    case PlacementReason::FirstFit:
        return "first-fit";
    case PlacementReason::Random:
        return "random";
    case PlacementReason::UrgentRoomKept:
        return "urgent-room-kept";
    case PlacementReason::NoRoom:
        break;
    }
    return "no-room";
}

} // namespace firefly
