#include "CellLease/ClaimRecord.h"

#include <nlohmann/json.hpp>

namespace firefly {

std::string encodeClaim(const OwnershipClaim &claim)
{
    return nlohmann::json{{"epoch", claim.epoch},
                          {"holder", claim.holder},
                          {"node", claim.node},
                          {"address", claim.endpoint.address},
                          {"port", claim.endpoint.port},
                          {"renewal", claim.renewal},
                          {"pending", claim.pendingByQueue},
                          {"load", {claim.load.reserved, claim.load.fillers}}}
        .dump();
}

OwnershipClaim decodeClaim(std::string_view bytes)
{
    try {
        const auto object = nlohmann::json::parse(bytes);
        OwnershipClaim claim;
        object.at("epoch").get_to(claim.epoch);
        object.at("holder").get_to(claim.holder);
        object.at("node").get_to(claim.node);
        object.at("address").get_to(claim.endpoint.address);
        object.at("port").get_to(claim.endpoint.port);
        object.at("renewal").get_to(claim.renewal);
        object.at("pending").get_to(claim.pendingByQueue);
        object.at("load").at(0).get_to(claim.load.reserved);
        object.at("load").at(1).get_to(claim.load.fillers);
        return claim;
    } catch (const nlohmann::json::exception &e) {
        throw ClaimRecordError(std::string("ownership claim: ") + e.what());
    }
}

} // namespace firefly
