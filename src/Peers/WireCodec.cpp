#include "Peers/WireCodec.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace firefly::internal {
namespace {

/// Value of logProofAgeUs without a proof.
constexpr std::int64_t NoLogProof = -1;

std::string toString(capnp::Text::Reader text)
{
    return {text.cStr(), text.size()};
}

std::string toString(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

kj::ArrayPtr<const kj::byte> toBytes(std::string_view text)
{
    return {reinterpret_cast<const kj::byte *>(text.data()), text.size()};
}

wire::ForwardedResult::Result toWire(WorkerResult result)
{
    switch (result) {
    case WorkerResult::Done:
        return wire::ForwardedResult::Result::DONE;
    case WorkerResult::Refused:
        return wire::ForwardedResult::Result::REFUSED;
    case WorkerResult::NotSent:
        return wire::ForwardedResult::Result::NOT_SENT;
    case WorkerResult::ServiceError:
        return wire::ForwardedResult::Result::SERVICE_ERROR;
    case WorkerResult::Uncertain:
        break;
    }
    return wire::ForwardedResult::Result::UNCERTAIN;
}

WorkerResult fromWire(wire::ForwardedResult::Result result)
{
    switch (result) {
    case wire::ForwardedResult::Result::DONE:
        return WorkerResult::Done;
    case wire::ForwardedResult::Result::REFUSED:
        return WorkerResult::Refused;
    case wire::ForwardedResult::Result::NOT_SENT:
        return WorkerResult::NotSent;
    case wire::ForwardedResult::Result::SERVICE_ERROR:
        return WorkerResult::ServiceError;
    case wire::ForwardedResult::Result::UNCERTAIN:
        break;
    }
    return WorkerResult::Uncertain;
}

} // namespace

void writeHeartbeat(const Heartbeat &heartbeat, wire::Heartbeat::Builder builder)
{
    builder.setFrom(heartbeat.from.value());
    builder.setWriter(heartbeat.writer.value());
    builder.setZone(heartbeat.zone.value());
    builder.setDraining(heartbeat.draining);
    builder.setLogReachable(heartbeat.logReachable);
    builder.setAcceptsShards(heartbeat.acceptsShards);
    builder.setLastReadOffset(heartbeat.lastReadOffset);
    builder.setLogProofAgeUs(heartbeat.logProofAge ? heartbeat.logProofAge->count() : NoLogProof);
    builder.setPlansVersion(heartbeat.plansVersion);
    builder.setLimitsVersion(heartbeat.limitsVersion);
    auto shards = builder.initShards(static_cast<unsigned>(heartbeat.shards.size()));
    unsigned index = 0;
    for (const OwnedShard &it : heartbeat.shards) {
        auto shard = shards[index++];
        shard.setShard(it.shard.value());
        shard.setTerm(it.term);
        shard.setFreeSlots(it.freeSlots);
    }
    auto reaches = builder.initReaches(static_cast<unsigned>(heartbeat.reaches.size()));
    index = 0;
    for (const EntryId &it : heartbeat.reaches) {
        reaches.set(index++, it.value());
    }
}

Heartbeat readHeartbeat(wire::Heartbeat::Reader reader)
{
    Heartbeat heartbeat;
    heartbeat.from = EntryId(toString(reader.getFrom()));
    heartbeat.writer = WriterId(toString(reader.getWriter()));
    heartbeat.zone = ZoneId(toString(reader.getZone()));
    heartbeat.draining = reader.getDraining();
    heartbeat.logReachable = reader.getLogReachable();
    heartbeat.acceptsShards = reader.getAcceptsShards();
    heartbeat.lastReadOffset = reader.getLastReadOffset();
    if (reader.getLogProofAgeUs() >= 0) {
        heartbeat.logProofAge = Duration(reader.getLogProofAgeUs());
    }
    heartbeat.plansVersion = reader.getPlansVersion();
    heartbeat.limitsVersion = reader.getLimitsVersion();
    for (const auto it : reader.getShards()) {
        heartbeat.shards.push_back(
            {ShardId(toString(it.getShard())), it.getTerm(), it.getFreeSlots()});
    }
    for (const auto it : reader.getReaches()) {
        heartbeat.reaches.emplace_back(toString(it));
    }
    return heartbeat;
}

void writeHeartbeatReply(const HeartbeatReplyWithLists &reply,
                         wire::Peer::HeartbeatResults::Builder builder)
{
    writeHeartbeat(reply.reply.heartbeat, builder.initBeat());
    const auto &superseded = reply.reply.superseded;
    auto terms = builder.initSuperseded(static_cast<unsigned>(superseded.size()));
    unsigned index = 0;
    for (const ShardTerm &it : superseded) {
        auto term = terms[index++];
        term.setShard(it.shard.value());
        term.setTerm(it.term);
    }
    if (reply.lists) {
        builder.setLists(nlohmann::json(*reply.lists).dump());
    }
}

HeartbeatReplyWithLists readHeartbeatReply(wire::Peer::HeartbeatResults::Reader reader)
{
    HeartbeatReplyWithLists reply;
    reply.reply.heartbeat = readHeartbeat(reader.getBeat());
    for (const auto it : reader.getSuperseded()) {
        reply.reply.superseded.push_back({ShardId(toString(it.getShard())), it.getTerm()});
    }
    if (reader.getLists().size() > 0) {
        reply.lists = nlohmann::json::parse(toString(reader.getLists())).get<OperatorLists>();
    }
    return reply;
}

void writeCall(const ForwardedCall &call, wire::ForwardedCall::Builder builder)
{
    builder.setRequest(call.request.value());
    builder.setCustomer(call.customer.value());
    builder.setService(call.service.value());
    builder.setKey(call.key);
    builder.setRemainingUs(call.remaining.count());
    builder.setBody(toBytes(call.body));
}

ForwardedCall readCall(wire::ForwardedCall::Reader reader)
{
    ForwardedCall call;
    call.request = RequestId(toString(reader.getRequest()));
    call.customer = CustomerId(toString(reader.getCustomer()));
    call.service = ServiceId(toString(reader.getService()));
    call.key = toString(reader.getKey());
    call.remaining = Duration(reader.getRemainingUs());
    call.body = toString(reader.getBody());
    return call;
}

void writeResult(const ForwardedResult &result, wire::ForwardedResult::Builder builder)
{
    builder.setRequest(result.request.value());
    builder.setResult(toWire(result.result));
    builder.setBody(toBytes(result.body));
    builder.setRetryAfterUs(result.retryAfter.count());
}

ForwardedResult readResult(wire::ForwardedResult::Reader reader)
{
    ForwardedResult result;
    result.request = RequestId(toString(reader.getRequest()));
    result.result = fromWire(reader.getResult());
    result.body = toString(reader.getBody());
    result.retryAfter = Duration(reader.getRetryAfterUs());
    return result;
}

} // namespace firefly::internal
