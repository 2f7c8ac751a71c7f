#include "Config/Amounts.h"

#include <charconv>
#include <cmath>

namespace firefly {
namespace {

constexpr std::int64_t MiBPerGiB = 1024;
constexpr std::int64_t MilliPerUnit = 1000;
constexpr std::int64_t MaxInteger = 1'000'000'000'000'000;
constexpr double MaxProcessors = 1e9;

template <typename Number>
std::optional<Number> parseEntire(std::string_view text)
{
    Number value = 0;
    const char *end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, value);
    if (ec != std::errc() || rest != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    const auto value = parseEntire<std::int64_t>(text);
    if (!value || *value < -MaxInteger || *value > MaxInteger) {
        return std::nullopt;
    }
    return value;
}

std::optional<double> parseNumber(std::string_view text)
{
    const auto value = parseEntire<double>(text);
    if (!value || !std::isfinite(*value)) {
        return std::nullopt;
    }
    return value;
}

std::optional<std::int64_t> parseMemoryMiB(std::string_view text)
{
    std::int64_t unit = 1;
    if (text.ends_with("GiB")) {
        unit = MiBPerGiB;
        text.remove_suffix(3);
    } else if (text.ends_with("MiB")) {
        text.remove_suffix(3);
    }
    const auto amount = parseInteger(text);
    if (!amount) {
        return std::nullopt;
    }
    return *amount * unit;
}

std::optional<std::int64_t> parseMilliProcessors(std::string_view text)
{
    const auto value = parseNumber(text);
    if (!value || std::abs(*value) > MaxProcessors) {
        return std::nullopt;
    }
    return std::llround(*value * MilliPerUnit);
}

std::string formatMemory(std::int64_t memoryMiB)
{
    if (memoryMiB % MiBPerGiB == 0) {
        return std::to_string(memoryMiB / MiBPerGiB) + "GiB";
    }
    return std::to_string(memoryMiB) + "MiB";
}

std::string formatProcessors(std::int64_t milliProcessors)
{
    std::string text = std::to_string(milliProcessors / MilliPerUnit);
    const std::int64_t rest = milliProcessors % MilliPerUnit;
    if (rest != 0) {
        text += "." + std::to_string(MilliPerUnit + rest).substr(1);
    }
    return text;
}

} // namespace firefly
