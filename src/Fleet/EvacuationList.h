#pragma once

#include "Core/Clock.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace firefly {

/// The zones that operators have evacuated, from the records of their requests.
class EvacuationList
{
public:
    /// A zone whose evacuation began or ended.
    struct Change
    {
        std::string zone;
        bool isEvacuated = false;
        TimePoint since{}; ///< When the evacuation began.
        bool operator==(const Change &) const = default;
    };

    /// Applies a request for \a zone, or its withdrawal; none if that changes nothing.
    std::optional<Change> apply(const std::string &zone, bool isRequested, TimePoint now);
    /// Ends the evacuations that aren't among \a requested, the zones of all current requests.
    std::vector<Change> retain(const std::set<std::string> &requested);

    std::set<std::string> zones() const;
    /// Start of the current evacuations, by zone.
    const std::map<std::string, TimePoint> &begins() const { return m_begins; }

private:
    std::map<std::string, TimePoint> m_begins;
};

} // namespace firefly
