#pragma once

#include "Fleet/CellLayout.h"
#include "Fleet/NodeSettings.h"
#include "Ops/EventLog.h"
#include "platform/StoreClient.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace firefly {

/// Learns the fleet's layout from the store; writes it when the fleet starts for the first time.
///
/// The record is appended on condition that its topic is empty, so all processes read one layout.
class LayoutKeeper
{
public:
    using OnLayout = std::function<void(const CellLayout &)>;

    static constexpr const char *RecordKey = "layout";

    /// \a onLayout is called once.
    LayoutKeeper(asio::io_context &context, platform::StoreClient &store,
                 const NodeSettings &settings, EventLog &log, OnLayout onLayout);
    ~LayoutKeeper();
    LayoutKeeper(const LayoutKeeper &) = delete;
    LayoutKeeper &operator=(const LayoutKeeper &) = delete;

private:
    struct Private;
    std::shared_ptr<Private> m_private;
};

} // namespace firefly
