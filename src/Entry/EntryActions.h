#pragma once

#include "Calls/ForwardMessages.h"
#include "Core/VmInfo.h"
#include "Membership/Heartbeat.h"
#include "Platform/LogMessages.h"
#include "Platform/WorkerMessages.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace firefly {

/// Appends a batch of records to the log; answered by EntryCore::onAppendReply().
struct SendAppend
{
    LogAppend append;
};

/// Reads the log; answered by EntryCore::onLogRead() or onLogReadFailed().
struct SendLogRead
{
    Offset from = 1;
    std::size_t maxRecords = 0;
};

/// Reads the VM list; answered by EntryCore::onVmList() or onVmListFailed().
struct SendVmListRead
{};

/// Renews a worker's lease and asks for its task list; answered by EntryCore::onSyncReply().
struct SendSync
{
    WorkerInfo worker;
    WorkerSync sync;
};

/// Starts a task on a worker; answered by EntryCore::onStartReply().
struct SendStart
{
    WorkerInfo worker;
    StartAttempt task;
};

/// Stops a task; not answered, the next sync shows whether it stopped.
struct SendStop
{
    WorkerInfo worker;
    StopAttempt task;
};

/// Throttles a task; not answered, the next sync shows whether it was throttled.
struct SendThrottle
{
    WorkerInfo worker;
    ThrottleAttempt task;
};

/// Sends an urgent call to a worker; answered by EntryCore::onCallReply() with the same dispatch
/// number.
struct SendCall
{
    WorkerInfo worker;
    std::uint64_t dispatch = 0;
    WorkerCall call;
};

/// Sends a heartbeat to a peer; answered by EntryCore::onHeartbeatReply() or onHeartbeatFailed().
struct SendHeartbeat
{
    EntryInfo peer;
    Heartbeat heartbeat;
};

/// Forwards an urgent call to a peer; answered by EntryCore::onForwardReply() with the same
/// dispatch number.
struct SendForward
{
    EntryInfo peer;
    std::uint64_t dispatch = 0;
    ForwardedCall call;
};

/// Writes a line to the event log of this process.
struct WriteEvent
{
    bool isWarning = false;
    std::string component;
    std::string message; ///< Constant text, so that repeats can be rate-limited.
    std::string detail;
};

using EntryAction =
    std::variant<SendAppend, SendLogRead, SendVmListRead, SendSync, SendStart, SendStop,
                 SendThrottle, SendCall, SendHeartbeat, SendForward, WriteEvent>;
using EntryActions = std::vector<EntryAction>;

} // namespace firefly
