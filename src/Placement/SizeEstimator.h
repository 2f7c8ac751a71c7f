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

/// Corrects the declared sizes and run times of jobs by what earlier jobs of the same customer and
/// kind used.
class SizeEstimator
{
public:
    /// Expected needs of a job.
    struct Estimate
    {
        Resources resources;
        std::int64_t runtimeMs = 0;
        std::uint64_t observations = 0; ///< Ended jobs that it is based on; 0 before the first one.
    };

    /// Expected needs of \a spec: at least one milliprocessor and one MiB once jobs were recorded.
    Estimate estimate(const BatchJobSpec &spec) const;
    /// Records a job of this kind that ended, with its \a peak use and its run time without
    /// slowdown, \a runtimeMs.
    void recordEnded(const BatchJobSpec &spec, const Resources &peak, std::int64_t runtimeMs);
    /// Records a job that its worker stopped because it used more than \a granted.
    void recordExceeded(const BatchJobSpec &spec, const Resources &granted);

    nlohmann::json dump() const;

private:
    /// Used amounts relative to the declared ones.
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
