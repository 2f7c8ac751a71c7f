#include "CellLease/DirectoryRecord.h"

#include "CellLease/ClaimRecord.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <cmath>

namespace firefly {
namespace {

constexpr char VmPrefix = 'v';
constexpr char CellPrefix = 'c';

} // namespace

std::string vmRecordKey(std::string_view node)
{
    return VmPrefix + std::string(node);
}

std::string cellRecordKey(int cell)
{
    return CellPrefix + std::to_string(cell);
}

std::optional<std::string> vmOfRecord(std::string_view key)
{
    if (key.size() < 2 || key.front() != VmPrefix) {
        return std::nullopt;
    }
    return std::string(key.substr(1));
}

std::optional<int> cellOfRecord(std::string_view key)
{
    if (key.size() < 2 || key.front() != CellPrefix) {
        return std::nullopt;
    }
    int cell = -1;
    const auto result = std::from_chars(key.data() + 1, key.data() + key.size(), cell);
    const bool isNumber = result.ec == std::errc() && result.ptr == key.data() + key.size();
    return isNumber && cell >= 0 ? std::optional(cell) : std::nullopt;
}

std::string encodeAnnouncement(const VmAnnouncement &announcement)
{
    const VmCapacity &capacity = announcement.capacity;
    nlohmann::json object = {{"cpu_share", capacity.cpuShare}, {"link_mbps", capacity.linkMbps}};
    if (announcement.startedAtUnixMs != 0) {
        object["started_at"] = announcement.startedAtUnixMs;
    }
    return object.dump();
}

VmAnnouncement decodeAnnouncement(std::string_view bytes)
{
    try {
        const auto object = nlohmann::json::parse(bytes);
        VmAnnouncement announcement;
        VmCapacity &capacity = announcement.capacity;
        object.at("cpu_share").get_to(capacity.cpuShare);
        object.at("link_mbps").get_to(capacity.linkMbps);
        const bool isValid = std::isfinite(capacity.cpuShare) && capacity.cpuShare > 0
                             && std::isfinite(capacity.linkMbps) && capacity.linkMbps > 0;
        if (!isValid) {
            throw ClaimRecordError("VM capacity: cpu_share and link_mbps must be positive");
        }
        if (const auto it = object.find("started_at"); it != object.end()) {
            it->get_to(announcement.startedAtUnixMs);
        }
        return announcement;
    } catch (const nlohmann::json::exception &e) {
        throw ClaimRecordError(std::string("VM capacity: ") + e.what());
    }
}

} // namespace firefly
