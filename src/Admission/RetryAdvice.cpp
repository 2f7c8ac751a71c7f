#include "Admission/RetryAdvice.h"

#include <algorithm>
#include <cstdint>

namespace firefly {
namespace {

constexpr Duration MinDelay = std::chrono::seconds(1);
constexpr Duration MaxDelay = std::chrono::seconds(8);
/// Failures this far apart belong to different outages.
constexpr Duration MaxFailureGap = 2 * MaxDelay;

} // namespace

double spreadOf(std::string_view key)
{
    // 64-bit FNV-1a; the last step mixes the few characters of a short key into the high bits.
    constexpr std::uint64_t Offset = 14695981039346656037U;
    constexpr std::uint64_t Prime = 1099511628211U;
    constexpr unsigned Bits = 20;
    std::uint64_t hash = Offset;
    for (const char it : key) {
        hash = (hash ^ static_cast<unsigned char>(it)) * Prime;
    }
    constexpr std::uint64_t Mix = 0x9E3779B97F4A7C15U;
    hash = (hash ^ (hash >> 32U)) * Mix;
    hash = (hash ^ (hash >> 32U)) * Mix;
    return static_cast<double>(hash >> (64U - Bits)) / static_cast<double>(1U << Bits);
}

void RetryAdvice::onFailure(TimePoint now)
{
    if (!m_since || now - m_latestFailure > MaxFailureGap) {
        m_since = now;
    }
    m_latestFailure = now;
}

Duration RetryAdvice::delayFor(std::string_view key, TimePoint now) const
{
    if (!m_since) {
        return MinDelay;
    }
    const double growth = m_growth.min + (m_growth.max - m_growth.min) * spreadOf(key);
    const auto lasted = std::chrono::duration<double, Duration::period>(now - *m_since);
    const Duration delay = std::chrono::duration_cast<Duration>(growth * lasted);
    return std::chrono::ceil<std::chrono::seconds>(std::clamp(delay, MinDelay, MaxDelay));
}

} // namespace firefly
