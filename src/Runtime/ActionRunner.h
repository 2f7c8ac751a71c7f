#pragma once

#include "Adapters/CurlLoop.h"
#include "Adapters/HttpLogClient.h"
#include "Adapters/HttpVmListClient.h"
#include "Adapters/HttpWorkerClient.h"
#include "Config/Settings.h"
#include "Entry/EntryCore.h"
#include "Ops/EventLog.h"
#include "Peers/PeerNode.h"

#include <asio/io_context.hpp>

#include <functional>

namespace firefly {

/// Performs the actions that an EntryCore requests and passes the replies back to it.
class ActionRunner
{
public:
    ActionRunner(asio::io_context &context, const Settings &settings, EntryCore &core,
                 PeerNode &peers, EventLog &log);

    /// Calls \a step with the current time, then performs the actions that the core requests.
    ///
    /// An InvariantViolation thrown by \a step is logged; the message that caused it is rejected.
    void runStep(const std::function<void(TimePoint)> &step);

private:
    void execute(EntryAction action);
    void perform(const SendAppend &action);
    void perform(const SendLogRead &action);
    void perform(const SendVmListRead &action);
    void perform(SendSync action);
    void perform(SendStart action);
    void perform(const SendStop &action);
    void perform(const SendThrottle &action);
    void perform(SendCall action);
    void perform(const SendHeartbeat &action);
    void perform(SendForward action);
    void perform(const WriteEvent &action);

    EntryCore &m_core;
    PeerNode &m_peers;
    EventLog &m_log;
    Duration m_heartbeatTimeout;
    CurlLoop m_curl;
    HttpLogClient m_logClient;
    HttpWorkerClient m_workers;
    HttpVmListClient m_vmList;
};

} // namespace firefly
