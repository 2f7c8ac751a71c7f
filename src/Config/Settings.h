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

/// `entry`: who this process is.
struct EntrySettings
{
    EntryId id;
    ZoneId zone;
};

/// `listen`: addresses this process accepts connections on.
struct ListenSettings
{
    Endpoint callers;
    Endpoint operators;
    Endpoint peers;
};

/// `operators`: access to the operator address.
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

/// One entry of `peers.seeds`: an entry to contact before the VM list is known.
struct PeerSeed
{
    EntryId id;
    Endpoint endpoint;
};

/// One entry of `services`: a latency-critical service that backend servers offer.
struct ServiceSettings
{
    std::string path;                   ///< Path on the backend server; "/NAME" when not given.
    bool idempotent = false;            ///< False: runs at most once, and needs an idempotency key.
    Resources perCall{1000, 256, 0, 1}; ///< What one call takes from its worker.
    Duration timeout{2'000'000};        ///< Deadline of a call that names none.
    std::int64_t retryBudgetPercent = 10; ///< Retries and hedges, per hundred calls.
    bool hedge = false;                   ///< Only for idempotent services.
};

/// `limits`: bounds on what callers may take from this process.
struct LimitsSettings
{
    std::int64_t maxBodyBytes = 1 << 20;       ///< One request or answer body.
    std::int64_t maxInFlight = 4096;           ///< Requests between arrival and reply.
    std::int64_t maxBufferedBytes = 256 << 20; ///< All bodies held at one time.
    std::int64_t maxConnections = 8192;        ///< Callers' connections.
    Duration bodyTimeout{15'000'000};          ///< For one whole request to arrive.
};

/// `ownership`: times of shard ownership and worker leases.
struct OwnershipSettings
{
    Duration proof{3'000'000};   ///< How long a proof that no later claim exists stays good.
    Duration holdOff{5'000'000}; ///< Wait of a claimant from reading its own claim back.
    Duration lease{4'000'000};   ///< Lease that a worker grants with each sync.
    Duration drift{200'000};     ///< Largest drift between two clocks over these times.
    Duration heartbeat{500'000}; ///< Between heartbeats to peers and syncs to workers.
    Duration listLag{3'000'000}; ///< Largest lag of the VM list behind reality.
};

/// `policy`: the weight of the two aims.
struct PolicySettings
{
    double urgentWeight = 0.7; ///< 0: batch throughput and few evictions; 1: urgent tail latency.
};

/// Lowest level that is logged.
enum class LogLevel { Debug, Info, Warning, Error };

/// `log`: the process's own log lines.
struct LogSettings
{
    LogLevel level = LogLevel::Info;
};

/// `snapshot`: how live state is carried forward in the log.
struct SnapshotSettings
{
    std::int64_t everyRecords = 20'000;           ///< Records between two snapshots.
    Duration retention{std::chrono::minutes(60)}; ///< How long the log keeps records.
};

/// Everything that `fireflyswitchd --config FILE` reads.
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

/// Thrown with every finding of a settings file.
class SettingsError : public FindingsError
{
public:
    using FindingsError::FindingsError;
};

/// Reads and checks the settings file at \a path.
/// \throws SettingsError with all findings, also when the file cannot be read.
Settings loadSettings(const std::string &path);

/// Reads and checks settings from \a text; \a file is the name that findings show.
/// \throws SettingsError
Settings parseSettings(std::string_view text, const std::string &file);

} // namespace firefly
