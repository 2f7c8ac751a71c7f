#pragma once

#include "Core/Id.h"
#include "Core/Resources.h"
#include "Records/Record.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace firefly {

/// Corrects declared sizes and run times by what earlier jobs of the same customer and kind used.
class SizeEstimator
{
public:
    /// What a job will probably need.
    struct Estimate
    {
        Resources resources;
        std::int64_t runtimeMs = 0;
        std::uint64_t observations = 0; ///< Jobs that the estimate rests on; 0 means as declared.
    };

    /// Expected need of \a spec; never less than one processor thousandth and one MiB.
    Estimate estimate(const JobSpec &spec) const;
    /// A job of this kind ended; \a peak is the most it used and \a runtimeMs its undisturbed time.
    void recordEnded(const JobSpec &spec, const Resources &peak, std::int64_t runtimeMs);
    /// A job was stopped by a guard of its worker because it needed more than \a granted.
    void recordExceeded(const JobSpec &spec, const Resources &granted);

    nlohmann::json dump() const;

private:
    struct Ratios
    {
        double processors = 1;
        double memory = 1;
        double runtime = 1;
        std::uint64_t ended = 0;
    };
    using Key = std::pair<CustomerId, std::string>;

    std::map<Key, Ratios> m_ratios;
};

} // namespace firefly
