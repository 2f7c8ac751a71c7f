#include "CellLease/ClaimRecord.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace firefly {

namespace {

using nlohmann::json;

json toJson(const ResourceVector &amount)
{
    return json::array({amount.milliCpu, amount.memoryMb, amount.gpus});
}

ResourceVector toAmount(const json &row)
{
    return {row.at(0).get<std::int64_t>(), row.at(1).get<std::int64_t>(),
            row.at(2).get<std::int64_t>()};
}

} // namespace

std::string encodeClaim(const OwnershipClaim &claim)
{
    json rooms = json::object();
    for (const auto &[service, room] : claim.rooms) {
        rooms[service] = json::array(
            {toJson(room.largestFree), toJson(room.largestAfterBatch), toJson(room.largestWorker)});
    }
    const CellLoad &load = claim.load;
    json givenUp = json::array();
    for (const JobId &it : claim.givenUpJobs) {
        givenUp.push_back(it.value());
    }
    return json{
        {"epoch", claim.epoch},
        {"holder", claim.holder},
        {"node", claim.node},
        {"address", claim.endpoint.address},
        {"port", claim.endpoint.port},
        {"renewal", claim.renewal},
        {"pending", claim.pendingByQueue},
        {"load", {load.reserved, load.fillers, load.longRunning, load.milliCpu, load.displaced}},
        {"rooms", std::move(rooms)},
        {"given_up", std::move(givenUp)}}
        .dump();
}

OwnershipClaim decodeClaim(std::string_view bytes)
{
    try {
        const auto object = json::parse(bytes);
        OwnershipClaim claim;
        object.at("epoch").get_to(claim.epoch);
        object.at("holder").get_to(claim.holder);
        object.at("node").get_to(claim.node);
        object.at("address").get_to(claim.endpoint.address);
        object.at("port").get_to(claim.endpoint.port);
        object.at("renewal").get_to(claim.renewal);
        object.at("pending").get_to(claim.pendingByQueue);
        const auto &load = object.at("load");
        load.at(0).get_to(claim.load.reserved);
        load.at(1).get_to(claim.load.fillers);
        // Older builds publish two numbers; their long-running demand must not look like none.
        claim.load.longRunning = load.size() > 2 ? load.at(2).get<double>() : claim.load.reserved;
        claim.load.milliCpu = load.size() > 3 ? load.at(3).get<double>() : 0.0;
        claim.load.displaced = load.size() > 4 ? load.at(4).get<double>() : claim.load.longRunning;
        const json rooms = object.value("rooms", json::object());
        for (const auto &[service, room] : rooms.items()) {
            claim.rooms[service] = {toAmount(room.at(0)), toAmount(room.at(1)),
                                    room.size() > 2 ? toAmount(room.at(2)) : ResourceVector{}};
        }
        for (const json &it : object.value("given_up", json::array())) {
            claim.givenUpJobs.emplace_back(it.get<std::string>());
        }
        return claim;
    } catch (const json::exception &e) {
        throw ClaimRecordError(std::string("ownership claim: ") + e.what());
    }
}

} // namespace firefly
