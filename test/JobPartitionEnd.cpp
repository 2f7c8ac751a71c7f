#include "Core/UnixTime.h"
#include "fakes/FakeHttpServer.h"
#include "Node/JobPartition.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

namespace firefly {
namespace {

using namespace std::chrono_literals;

/// A partition whose store answers the fencing and the load, and nothing after them.
struct PartitionOfSilentStore
{
    PartitionOfSilentStore()
    {
        scheduler.beginOwnership(1, Clock::now(), Clock::now());
        server.enqueue({fakes::okResponse(R"({"offset":0,"end":0})")});
        server.enqueue({fakes::okResponse(R"({"items":[],"has_more":false,"end":0})")});
        JobPartition::Callbacks callbacks;
        callbacks.onLoaded = [this] { isLoaded = true; };
        callbacks.onFenced = [] {};
        callbacks.onReadyToAppend = [this] { ++readyCount; };
        partition = std::make_unique<JobPartition>(context, store, scheduler, log, metrics, 0, 1,
                                                   std::move(callbacks));
    }

    asio::io_context context{1};
    EventLog log{"n", LogLevel::Error, LogStream::Error, 1};
    Metrics metrics;
    CurlLoop curl{context};
    fakes::FakeHttpServer server{context};
    platform::StoreClient store{curl, server.endpoint()};
    CellScheduler scheduler{CellBounds()};
    std::unique_ptr<JobPartition> partition;
    bool isLoaded = false;
    int readyCount = 0;
};

// After a freeze the end of an ownership and the outcome of its last append were due together: the
// outcome met a journal without a batch, and the process ended (soak seeds 305 and 312).
TEST(JobPartitionEnd, AnOutcomeAfterTheEndOfTheOwnershipIsDropped)
{
    PartitionOfSilentStore world;
    while (!world.isLoaded && world.context.run_one_for(2s) > 0) {
    }
    ASSERT_TRUE(world.isLoaded);
    world.scheduler.submit(JobId("a"), JobSpec(), Clock::now(), unixMs(), [](auto) {});
    world.partition->append();
    while (world.server.requests().size() < 3 && world.context.run_one_for(2s) > 0) {
    }
    ASSERT_EQ(world.server.requests().size(), 3U) << "the append is in flight";
    const int readyCount = world.readyCount;
    world.scheduler.endOwnership();
    world.partition->close();
    EXPECT_NO_THROW(world.context.run_for(1s)) << "the append times out";
    EXPECT_EQ(world.readyCount, readyCount);
}

} // namespace
} // namespace firefly
