#include "Cell/GuestSelection.h"

#include <gtest/gtest.h>

#include <array>
#include <optional>

namespace firefly {
namespace {

using namespace std::chrono_literals;

constexpr double MilliCpu = 1'000'000.0; ///< Capacity of each cell.
constexpr ResourceVector Demand{5000, 1000, 0};
constexpr double Share = 5000.0 / MilliCpu; ///< Of a task with Demand.
constexpr TimePoint Start{100s};

/// A full cell whose displaced tasks need the fraction \a displaced of its capacity.
CellLoad makeLoad(double displaced)
{
    return {1.0 + displaced, 0.0, 1.0 + displaced, MilliCpu, displaced};
}

/// What such a cell publishes; its workers could take 16 cores.
GuestOffer makeOffer(double displaced)
{
    const ResourceVector worker{16000, 64000, 0};
    return {makeLoad(displaced), {{3000, 4000, 0}, worker, worker}};
}

/// Moves tasks of the cell 0 for as long as another queue is shorter.  Returns how many.
int moveAll(GuestSelection &guests, CellLoad &home,
            const std::array<std::optional<GuestOffer>, 4> &cells, TimePoint now)
{
    int count = 0;
    while (guests.chooseShorterQueue(Demand, home, cells, now)) {
        home.displaced -= Share;
        ++count;
    }
    return count;
}

// Three homes that see the same short queue, none of which knows of the others' tasks.
TEST(GuestSelection, HomesThatChooseTheSameQueueTogetherDoNotMakeItTheLongest)
{
    const std::array<std::optional<GuestOffer>, 4> cells = {std::nullopt, makeOffer(0.4),
                                                            makeOffer(0.4), makeOffer(0.0)};
    GuestSelection guests;
    CellLoad home = makeLoad(0.4);
    const int count = moveAll(guests, home, cells, Start);
    EXPECT_GT(count, 0);
    EXPECT_LE(3 * count * Share, home.displaced);
}

TEST(GuestSelection, ATaskMovesAgainOnceTheQueueIsPublished)
{
    std::array<std::optional<GuestOffer>, 4> cells = {std::nullopt, makeOffer(0.4), makeOffer(0.4),
                                                      makeOffer(0.0)};
    GuestSelection guests;
    CellLoad home = makeLoad(0.4);
    const int count = moveAll(guests, home, cells, Start);
    EXPECT_EQ(moveAll(guests, home, cells, Start + 1s), 0);
    cells[3] = makeOffer(count * Share);
    EXPECT_GT(moveAll(guests, home, cells, Start + 2s), 0);
}

TEST(GuestSelection, QueuesOfAboutTheSameLengthStay)
{
    const std::array<std::optional<GuestOffer>, 4> cells = {std::nullopt, makeOffer(0.19),
                                                            makeOffer(0.21), std::nullopt};
    GuestSelection guests;
    EXPECT_FALSE(guests.chooseShorterQueue(Demand, makeLoad(0.2), cells, Start));
}

TEST(GuestSelection, ALoneTaskStaysInItsCell)
{
    const std::array<std::optional<GuestOffer>, 4> cells = {std::nullopt, makeOffer(0.0),
                                                            makeOffer(0.0), makeOffer(0.0)};
    GuestSelection guests;
    EXPECT_FALSE(guests.chooseShorterQueue(Demand, makeLoad(Share), cells, Start));
}

// A new owner doesn't know its workers, and so it publishes no capacity.
TEST(GuestSelection, NoTaskMovesToACellThatIsUnknownOrTooSmall)
{
    std::array<std::optional<GuestOffer>, 4> cells = {std::nullopt, makeOffer(0.0), makeOffer(0.0),
                                                      std::nullopt};
    cells[1]->load = {1.0, 1.0, 1.0};
    cells[2]->room.largestWorker = {16000, 500, 0};
    GuestSelection guests;
    EXPECT_FALSE(guests.chooseShorterQueue(Demand, makeLoad(0.4), cells, Start));
}

} // namespace
} // namespace firefly
