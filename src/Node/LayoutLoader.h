#pragma once

#include "CellLease/FleetDirectory.h"
#include "CellLease/StoreRetryPolicy.h"
#include "Fleet/CellLayout.h"
#include "Fleet/NodeSettings.h"
#include "Ops/EventLog.h"
#include "platform/StoreClient.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace firefly {

/// Loads the fleet's layout from the store; creates it when the fleet starts for the first time.
///
/// Only the VMs that may own cells first follow the workers to make a layout; the others wait for
/// it. The append is conditional on the end of the layout topic, so of several proposals only one
/// is stored and all processes read the same layout.
class LayoutLoader
{
public:
    using OnLayout = std::function<void(const CellLayout &)>;

    static constexpr const char *RecordKey = "layout";

    /// \a onLayout is called once, when the layout is known.
    LayoutLoader(asio::io_context &context, platform::StoreClient &store, StoreRetryPolicy &retries,
                 const NodeSettings &settings, EventLog &log, const FleetDirectory &directory,
                 OnLayout onLayout);
    ~LayoutLoader();
    LayoutLoader(const LayoutLoader &) = delete;
    LayoutLoader &operator=(const LayoutLoader &) = delete;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace firefly
