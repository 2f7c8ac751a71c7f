#include "Config/Settings.h"

#include "Config/Name.h"
#include "Config/YamlSection.h"

#include <fstream>
#include <iterator>
#include <set>

namespace firefly {
namespace {

using internal::FindingCollector;
using internal::Need;
using internal::Range;
using internal::YamlSection;

constexpr std::size_t MinTokenLength = 16;
constexpr Range Bytes{1024, 1LL << 40};
constexpr Range Count{1, 10'000'000};
constexpr Range Percent{0, 100};
constexpr Range ShortTimeMs{1, 600'000};
constexpr Range RetentionMs{1'000, 30LL * 24 * 3'600'000};
constexpr int HeartbeatsPerProof = 3;
constexpr int HeartbeatsPerLease = 2;

/// Reads a required name into a typed identifier.
template <typename IdType>
void readName(YamlSection &section, const std::string &key, IdType &target)
{
    std::string text;
    section.text(key, text, Need::Required);
    if (!text.empty() && !isName(text)) {
        section.findings().add(section.pathOf(key), std::string(NameRule));
    }
    target = IdType(text);
}

void readEntry(YamlSection section, EntrySettings &entry)
{
    readName(section, "id", entry.id);
    readName(section, "zone", entry.zone);
    section.finish();
}

void readListen(YamlSection section, ListenSettings &listen)
{
    section.endpoint("callers", listen.callers);
    section.endpoint("operators", listen.operators);
    section.endpoint("peers", listen.peers);
    section.finish();
    if (listen.operators == listen.callers) {
        section.findings().add(section.pathOf("operators"), "must differ from listen.callers");
    }
    if (listen.peers == listen.callers || listen.peers == listen.operators) {
        section.findings().add(section.pathOf("peers"), "must differ from the other addresses");
    }
}

void readOperators(YamlSection section, OperatorSettings &operators)
{
    section.text("token", operators.token, Need::Required);
    section.finish();
    if (operators.token.size() < MinTokenLength) {
        section.findings().add(section.pathOf("token"), "must have at least "
                                                            + std::to_string(MinTokenLength)
                                                            + " characters");
    }
}

void readPlatform(YamlSection section, PlatformSettings &platform)
{
    section.endpoint("log", platform.log);
    section.endpoint("vms", platform.vms);
    section.finish();
}

void readSeeds(YamlSection section, const EntrySettings &self, std::vector<PeerSeed> &seeds)
{
    std::set<EntryId> ids;
    for (YamlSection &item : section.children("seeds")) {
        PeerSeed seed;
        readName(item, "id", seed.id);
        item.endpoint("endpoint", seed.endpoint);
        item.finish();
        if (!ids.insert(seed.id).second) {
            item.findings().add(item.pathOf("id"), "names an entry a second time");
        }
        if (seed.id == self.id) {
            continue;
        }
        seeds.push_back(std::move(seed));
    }
    section.finish();
}

void readPerCall(YamlSection section, Resources &perCall)
{
    section.resources(perCall, Need::Optional);
    section.finish();
    const std::map<std::string, std::int64_t> amounts = {{"processors", perCall.milliProcessors},
                                                         {"memory", perCall.memoryMiB},
                                                         {"accelerators", perCall.accelerators}};
    for (const auto &[key, amount] : amounts) {
        if (amount < 0) {
            section.findings().add(section.pathOf(key), "must not be negative");
        }
    }
    if (perCall.slots < 1) {
        section.findings().add(section.pathOf("slots"), "a call takes at least one slot");
    }
}

void readService(YamlSection section, const std::string &name, ServiceSettings &service)
{
    service.path = "/" + name;
    section.text("path", service.path);
    section.flag("idempotent", service.idempotent);
    section.flag("hedge", service.hedge);
    section.milliseconds("timeoutMs", service.timeout, ShortTimeMs);
    section.integer("retryBudgetPercent", service.retryBudgetPercent, Percent);
    readPerCall(section.child("perCall"), service.perCall);
    section.finish();
    FindingCollector &findings = section.findings();
    if (!isName(name)) {
        findings.add(section.pathOf("name"), std::string(NameRule));
    }
    if (!service.path.starts_with('/')) {
        findings.add(section.pathOf("path"), "must start with '/'");
    }
    if (service.hedge && !service.idempotent) {
        findings.add(section.pathOf("hedge"), "only an idempotent service can be hedged");
    }
}

void readServices(YamlSection section, std::map<ServiceId, ServiceSettings> &services)
{
    for (const auto &[name, node] : section.entries()) {
        YamlSection item(node, section.pathOf(name), section.findings());
        readService(std::move(item), name, services[ServiceId(name)]);
    }
}

void readLimits(YamlSection section, LimitsSettings &limits)
{
    section.integer("maxBodyBytes", limits.maxBodyBytes, Bytes);
    section.integer("maxInFlight", limits.maxInFlight, Count);
    section.integer("maxBufferedBytes", limits.maxBufferedBytes, Bytes);
    section.integer("maxConnections", limits.maxConnections, Count);
    section.milliseconds("bodyTimeoutMs", limits.bodyTimeout, ShortTimeMs);
    section.finish();
    if (limits.maxBufferedBytes < limits.maxBodyBytes) {
        section.findings().add(section.pathOf("maxBufferedBytes"),
                               "must be at least limits.maxBodyBytes");
    }
}

void readOwnership(YamlSection section, OwnershipSettings &ownership)
{
    section.milliseconds("proofMs", ownership.proof, ShortTimeMs);
    section.milliseconds("holdOffMs", ownership.holdOff, ShortTimeMs);
    section.milliseconds("leaseMs", ownership.lease, ShortTimeMs);
    section.milliseconds("driftMs", ownership.drift, ShortTimeMs);
    section.milliseconds("heartbeatMs", ownership.heartbeat, ShortTimeMs);
    section.milliseconds("listLagMs", ownership.listLag, ShortTimeMs);
    section.finish();
    FindingCollector &findings = section.findings();
    if (ownership.holdOff <= ownership.proof + ownership.drift) {
        findings.add(section.pathOf("holdOffMs"), "must exceed proofMs + driftMs");
    }
    if (ownership.heartbeat * HeartbeatsPerProof > ownership.proof) {
        findings.add(section.pathOf("heartbeatMs"), "must be at most a third of proofMs");
    }
    if (ownership.heartbeat * HeartbeatsPerLease > ownership.lease) {
        findings.add(section.pathOf("leaseMs"), "must be at least twice heartbeatMs");
    }
    if (ownership.drift >= ownership.lease) {
        findings.add(section.pathOf("driftMs"), "must be less than leaseMs");
    }
}

void readLog(YamlSection section, LogSettings &log)
{
    static const std::map<std::string, LogLevel> Levels = {{"debug", LogLevel::Debug},
                                                           {"info", LogLevel::Info},
                                                           {"warning", LogLevel::Warning},
                                                           {"error", LogLevel::Error}};
    std::string name = "info";
    section.text("level", name);
    section.finish();
    const auto it = Levels.find(name);
    if (it == Levels.end()) {
        section.findings().add(section.pathOf("level"), "expected debug, info, warning or error");
        return;
    }
    log.level = it->second;
}

void readPolicy(YamlSection section, PolicySettings &policy)
{
    section.number("urgentWeight", policy.urgentWeight, 0.0, 1.0);
    section.finish();
}

void readSnapshot(YamlSection section, SnapshotSettings &snapshot)
{
    section.integer("everyRecords", snapshot.everyRecords, Count);
    section.milliseconds("retentionMs", snapshot.retention, RetentionMs);
    section.finish();
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
    root.finish();
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
