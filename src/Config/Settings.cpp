#include "Config/Settings.h"

#include "Config/Name.h"
#include "Config/YamlSection.h"

#include <fstream>
#include <iterator>
#include <set>

namespace firefly {
namespace {

using internal::FindingCollector;
using internal::Presence;
using internal::Range;
using internal::YamlSection;

constexpr std::size_t MinTokenLength = 16;
constexpr Range Bytes{1024, 1LL << 40};
constexpr Range Count{1, 10'000'000};
constexpr Range Percent{0, 100};
constexpr Range ShortTimeMs{1, 600'000};
constexpr Range RetentionMs{1'000, 30LL * 24 * 3'600'000};
constexpr int MinHeartbeatsPerProof = 3;
constexpr int MinHeartbeatsPerLease = 2;

/// Reads the required name \a key into a typed identifier.
template <typename IdType>
void readName(YamlSection &section, const std::string &key, IdType &target)
{
    std::string text;
    section.readString(key, text, Presence::Required);
    if (!text.empty() && !isValidName(text)) {
        section.findings().add(section.fieldPath(key), std::string(NameRule));
    }
    target = IdType(text);
}

void readEntry(YamlSection section, EntrySettings &entry)
{
    readName(section, "id", entry.id);
    readName(section, "zone", entry.zone);
    section.reportUnknownKeys();
}

void readListen(YamlSection section, ListenSettings &listen)
{
    section.readEndpoint("callers", listen.callers);
    section.readEndpoint("operators", listen.operators);
    section.readEndpoint("peers", listen.peers);
    section.reportUnknownKeys();
    if (listen.operators == listen.callers) {
        section.findings().add(section.fieldPath("operators"), "must differ from listen.callers");
    }
    if (listen.peers == listen.callers || listen.peers == listen.operators) {
        section.findings().add(section.fieldPath("peers"), "must differ from the other addresses");
    }
}

void readOperators(YamlSection section, OperatorSettings &operators)
{
    section.readString("token", operators.token, Presence::Required);
    section.reportUnknownKeys();
    if (operators.token.size() < MinTokenLength) {
        section.findings().add(section.fieldPath("token"), "must have at least "
                                                               + std::to_string(MinTokenLength)
                                                               + " characters");
    }
}

void readPlatform(YamlSection section, PlatformSettings &platform)
{
    section.readEndpoint("log", platform.log);
    section.readEndpoint("vms", platform.vms);
    section.reportUnknownKeys();
}

void readSeeds(YamlSection section, const EntrySettings &self, std::vector<PeerSeed> &seeds)
{
    std::set<EntryId> ids;
    for (YamlSection &item : section.children("seeds")) {
        PeerSeed seed;
        readName(item, "id", seed.id);
        item.readEndpoint("endpoint", seed.endpoint);
        item.reportUnknownKeys();
        if (!ids.insert(seed.id).second) {
            item.findings().add(item.fieldPath("id"), "duplicate entry id");
        }
        if (seed.id == self.id) {
            continue;
        }
        seeds.push_back(std::move(seed));
    }
    section.reportUnknownKeys();
}

void readPerCall(YamlSection section, Resources &perCall)
{
    section.readResources(perCall, Presence::Optional);
    section.reportUnknownKeys();
    const std::map<std::string, std::int64_t> amounts = {{"processors", perCall.milliProcessors},
                                                         {"memory", perCall.memoryMiB},
                                                         {"accelerators", perCall.accelerators}};
    for (const auto &[key, amount] : amounts) {
        if (amount < 0) {
            section.findings().add(section.fieldPath(key), "must not be negative");
        }
    }
    if (perCall.slots < 1) {
        section.findings().add(section.fieldPath("slots"), "a call takes at least one slot");
    }
}

void readService(YamlSection section, const std::string &name, ServiceSettings &service)
{
    service.path = "/" + name;
    section.readString("path", service.path);
    section.readBool("idempotent", service.idempotent);
    section.readBool("hedge", service.hedge);
    section.readMilliseconds("timeoutMs", service.timeout, ShortTimeMs);
    section.readInteger("retryBudgetPercent", service.retryBudgetPercent, Percent);
    readPerCall(section.child("perCall"), service.perCall);
    section.reportUnknownKeys();
    FindingCollector &findings = section.findings();
    if (!isValidName(name)) {
        findings.add(section.fieldPath("name"), std::string(NameRule));
    }
    if (!service.path.starts_with('/')) {
        findings.add(section.fieldPath("path"), "must start with '/'");
    }
    if (service.hedge && !service.idempotent) {
        findings.add(section.fieldPath("hedge"), "only an idempotent service can be hedged");
    }
}

void readServices(YamlSection section, std::map<ServiceId, ServiceSettings> &services)
{
    for (const auto &[name, node] : section.entries()) {
        YamlSection item(node, section.fieldPath(name), section.findings());
        readService(std::move(item), name, services[ServiceId(name)]);
    }
}

void readLimits(YamlSection section, LimitsSettings &limits)
{
    section.readInteger("maxBodyBytes", limits.maxBodyBytes, Bytes);
    section.readInteger("maxInFlight", limits.maxInFlight, Count);
    section.readInteger("maxBufferedBytes", limits.maxBufferedBytes, Bytes);
    section.readInteger("maxConnections", limits.maxConnections, Count);
    section.readMilliseconds("bodyTimeoutMs", limits.bodyTimeout, ShortTimeMs);
    section.reportUnknownKeys();
    if (limits.maxBufferedBytes < limits.maxBodyBytes) {
        section.findings().add(section.fieldPath("maxBufferedBytes"),
                               "must be at least limits.maxBodyBytes");
    }
}

void readOwnership(YamlSection section, OwnershipSettings &ownership)
{
    section.readMilliseconds("proofMs", ownership.proof, ShortTimeMs);
    section.readMilliseconds("holdOffMs", ownership.holdOff, ShortTimeMs);
    section.readMilliseconds("leaseMs", ownership.lease, ShortTimeMs);
    section.readMilliseconds("driftMs", ownership.drift, ShortTimeMs);
    section.readMilliseconds("heartbeatMs", ownership.heartbeat, ShortTimeMs);
    section.readMilliseconds("listLagMs", ownership.listLag, ShortTimeMs);
    section.reportUnknownKeys();
    FindingCollector &findings = section.findings();
    if (ownership.holdOff <= ownership.proof + ownership.drift) {
        findings.add(section.fieldPath("holdOffMs"), "must exceed proofMs + driftMs");
    }
    if (ownership.heartbeat * MinHeartbeatsPerProof > ownership.proof) {
        findings.add(section.fieldPath("heartbeatMs"), "must be at most a third of proofMs");
    }
    if (ownership.heartbeat * MinHeartbeatsPerLease > ownership.lease) {
        findings.add(section.fieldPath("leaseMs"), "must be at least twice heartbeatMs");
    }
    if (ownership.drift >= ownership.lease) {
        findings.add(section.fieldPath("driftMs"), "must be less than leaseMs");
    }
}

void readLog(YamlSection section, LogSettings &log)
{
    static const std::map<std::string, LogLevel> Levels = {{"debug", LogLevel::Debug},
                                                           {"info", LogLevel::Info},
                                                           {"warning", LogLevel::Warning},
                                                           {"error", LogLevel::Error}};
    std::string name = "info";
    section.readString("level", name);
    section.reportUnknownKeys();
    const auto it = Levels.find(name);
    if (it == Levels.end()) {
        section.findings().add(section.fieldPath("level"),
                               "expected debug, info, warning or error");
        return;
    }
    log.level = it->second;
}

void readPolicy(YamlSection section, PolicySettings &policy)
{
    section.readNumber("urgentWeight", policy.urgentWeight, 0.0, 1.0);
    section.reportUnknownKeys();
}

void readSnapshot(YamlSection section, SnapshotSettings &snapshot)
{
    section.readInteger("everyRecords", snapshot.everyRecords, Count);
    section.readMilliseconds("retentionMs", snapshot.retention, RetentionMs);
    section.reportUnknownKeys();
}

Settings readSettings(YamlSection root)
{
    Settings settings;
    readEntry(root.child("entry"), settings.entry);
    readListen(root.child("listen"), settings.listen);
    readOperators(root.child("operators"), settings.operators);
    readPlatform(root.child("platform"), settings.platform);
    readSeeds(root.child("peers"), settings.entry, settings.seeds);
    readServices(root.child("services"), settings.services);
    readLimits(root.child("limits"), settings.limits);
    readOwnership(root.child("ownership"), settings.ownership);
    readPolicy(root.child("policy"), settings.policy);
    readLog(root.child("log"), settings.log);
    readSnapshot(root.child("snapshot"), settings.snapshot);
    root.reportUnknownKeys();
    return settings;
}

} // namespace

Settings parseSettings(std::string_view text, const std::string &file)
{
    FindingCollector findings(file);
    const YAML::Node node = internal::parseYaml(text, findings);
    if (const auto found = findings.sorted(); !found.empty()) {
        throw SettingsError(found);
    }
    Settings settings = readSettings(YamlSection(node, "", findings));
    if (const auto found = findings.sorted(); !found.empty()) {
        throw SettingsError(found);
    }
    return settings;
}

Settings loadSettings(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    if (!in.is_open() || in.bad()) {
        throw SettingsError({Finding{path, 1, 1, "(file)", "cannot be read"}});
    }
    return parseSettings(text, path);
}

} // namespace firefly
