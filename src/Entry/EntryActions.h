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

/// Append a batch to the log; answered by EntryCore::onAppendReply().
struct SendAppend
{
    LogAppend append;
};

/// Read the log; answered by EntryCore::onLogRead() or onLogReadFailed().
struct SendLogRead
{
    Offset from = 1;
    std::size_t maxRecords = 0;
};

/// Read the VM list; answered by EntryCore::onVmList() or onVmListFailed().
struct SendVmListRead
{};

/// Sync a worker; answered by EntryCore::onSyncReply().
struct SendSync
{
    WorkerInfo worker;
    WorkerSync sync;
};

/// Start a task; answered by EntryCore::onStartReply().
struct SendStart
{
    WorkerInfo worker;
    StartTask task;
};

/// Stop a task; the next sync shows whether it worked.
struct SendStop
{
    WorkerInfo worker;
    StopTask task;
};

/// Throttle a task; the next sync shows whether it worked.
struct SendThrottle
{
    WorkerInfo worker;
    ThrottleTask task;
};

/// Send an urgent call to a worker; answered by EntryCore::onCallReply() with the same number.
struct SendCall
{
    WorkerInfo worker;
    std::uint64_t dispatch = 0;
    WorkerCall call;
};

/// Send a heartbeat; answered by EntryCore::onHeartbeatReply() or onHeartbeatFailed().
struct SendHeartbeat
{
    EntryInfo peer;
    Heartbeat heartbeat;
};

/// Hand a call to a peer; answered by EntryCore::onForwardReply() with the same number.
struct SendForward
{
    EntryInfo peer;
    std::uint64_t dispatch = 0;
    ForwardedCall call;
};

/// Write a line to the event log.
struct WriteNotice
{
    bool isWarning = false;
    std::string component;
    std::string message; ///< Constant text, so that repeats can be limited.
    std::string detail;
};

using EntryAction =
    std::variant<SendAppend, SendLogRead, SendVmListRead, SendSync, SendStart, SendStop,
                 SendThrottle, SendCall, SendHeartbeat, SendForward, WriteNotice>;
using EntryActions = std::vector<EntryAction>;

} // namespace firefly
