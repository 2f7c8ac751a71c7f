#pragma once

#include "Config/EndpointText.h"
#include "Config/Finding.h"
#include "Core/Clock.h"
#include "Core/Id.h"
#include "Core/Resources.h"
#include "Core/VmInfo.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace firefly {

/// `entry`: identity of this process.
struct EntrySettings
{
    EntryId id;
    ZoneId zone;
};

/// `listen`: addresses on which this process accepts connections.
struct ListenSettings
{
    Endpoint callers;
    Endpoint operators;
    Endpoint peers;
};

/// `operators`: access control of the operator address.
struct OperatorSettings
{
    std::string token; ///< Bearer token, at least MinTokenLength characters.
};

/// `platform`: addresses of the platform's services.
struct PlatformSettings
{
    Endpoint log;
    Endpoint vms;
};

/// One item of `peers.seeds`: an entry to contact before the VM list was read.
struct PeerSeed
{
    EntryId id;
    Endpoint endpoint;
};

/// One item of `services`: a latency-critical service of the backend servers.
struct ServiceSettings
{
    std::string path;                   ///< Path on the backend server; "/NAME" by default.
    bool idempotent = false;            ///< False: runs at most once and needs an idempotency key.
    Resources perCall{1000, 256, 0, 1}; ///< Resources of the worker that one call uses.
    Duration timeout{2'000'000};        ///< Timeout of a call that sets none.
    std::int64_t retryBudgetPercent = 10; ///< Maximum retries and hedges per hundred calls.
    bool hedge = false;                   ///< Only for idempotent services.
};

/// `limits`: bounds on the use of this process by callers.
struct LimitsSettings
{
    std::int64_t maxBodyBytes = 1 << 20;       ///< Size of one request or answer body.
    std::int64_t maxInFlight = 4096;           ///< Requests that arrived and are not answered.
    std::int64_t maxBufferedBytes = 256 << 20; ///< Total size of all bodies in memory.
    std::int64_t maxConnections = 8192;        ///< Connections of callers.
    Duration bodyTimeout{15'000'000};          ///< Time in which a whole request must arrive.
};

/// `ownership`: timing of shard ownership and worker leases.
struct OwnershipSettings
{
    Duration proof{3'000'000};   ///< Validity of a proof that there is no later claim.
    Duration holdOff{5'000'000}; ///< Wait of a claimant after reading back its own claim.
    Duration lease{4'000'000};   ///< Lease granted to a worker with each sync.
    Duration drift{200'000};     ///< Maximum drift between two clocks in these times.
    Duration heartbeat{500'000}; ///< Interval of heartbeats to peers and syncs to workers.
    Duration listLag{3'000'000}; ///< Maximum lag of the VM list behind the actual VMs.
};

/// `policy`: weight of urgent latency against batch throughput.
struct PolicySettings
{
    double urgentWeight = 0.7; ///< 0: batch throughput and few evictions; 1: urgent tail latency.
};

/// Severity of a log line, lowest first.
enum class LogLevel { Debug, Info, Warning, Error };

/// `log`: log lines of this process.
struct LogSettings
{
    LogLevel level = LogLevel::Info; ///< Lowest level that is written.
};

/// `snapshot`: schedule of the snapshots that keep state beyond the log's retention.
struct SnapshotSettings
{
    std::int64_t everyRecords = 20'000;           ///< Records between two snapshots.
    Duration retention{std::chrono::minutes(60)}; ///< Time for which the log keeps a record.
};

/// All settings in the file of `fireflyswitchd --config FILE`.
struct Settings
{
    EntrySettings entry;
    ListenSettings listen;
    OperatorSettings operators;
    PlatformSettings platform;
    std::vector<PeerSeed> seeds; ///< Without this entry itself.
    std::map<ServiceId, ServiceSettings> services;
    LimitsSettings limits;
    OwnershipSettings ownership;
    PolicySettings policy;
    LogSettings log;
    SnapshotSettings snapshot;
};

/// Thrown with all findings of a settings file.
class SettingsError : public FindingsError
{
public:
    using FindingsError::FindingsError;
};

/// Reads and validates the settings file at \a path.
/// \throws SettingsError with all findings, also when the file cannot be read.
Settings loadSettings(const std::string &path);

/// Parses and validates settings from \a text; findings name \a file.
/// \throws SettingsError with all findings.
Settings parseSettings(std::string_view text, const std::string &file);

} // namespace firefly
