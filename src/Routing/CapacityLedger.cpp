#include "Routing/CapacityLedger.h"

#include "Core/Assert.h"

#include <nlohmann/json.hpp>

namespace firefly {
namespace {

bool isNonNegative(const Resources &amount)
{
    return Resources{}.fitsIn(amount);
}

nlohmann::json toJson(const Resources &amount)
{
    return {{"milliProcessors", amount.milliProcessors},
            {"memoryMiB", amount.memoryMiB},
            {"accelerators", amount.accelerators},
            {"slots", amount.slots}};
}

} // namespace

WorkerIndex CapacityLedger::add(const Resources &capacity)
{
    WorkerIndex worker{static_cast<std::uint32_t>(m_rows.size())};
    if (m_unused.empty()) {
        m_rows.emplace_back();
    } else {
        worker = m_unused.back();
        m_unused.pop_back();
    }
    m_rows[toPosition(worker)] = {.capacity = capacity, .present = true};
    return worker;
}

void CapacityLedger::remove(WorkerIndex worker)
{
    FIREFLY_ASSERT(isIdle(worker), "a worker that still has work is removed");
    at(worker).present = false;
    m_unused.push_back(worker);
}

void CapacityLedger::setCapacity(WorkerIndex worker, const Resources &capacity)
{
    at(worker).capacity = capacity;
}

bool CapacityLedger::reserve(WorkerIndex worker, WorkUse use, const Resources &amount)
{
    FIREFLY_ASSERT(isNonNegative(amount), "a negative amount is reserved");
    if (!amount.fitsIn(room(worker))) {
        return false;
    }
    amountOf(at(worker), use) += amount;
    FIREFLY_ASSERT(!isOvercommitted(worker), "a reservation went beyond the worker's capacity");
    return true;
}

void CapacityLedger::release(WorkerIndex worker, WorkUse use, const Resources &amount)
{
    Resources &inUse = amountOf(at(worker), use);
    FIREFLY_ASSERT(amount.fitsIn(inUse), "more is released than was reserved");
    inUse -= amount;
}

void CapacityLedger::adopt(WorkerIndex worker, WorkUse use, const Resources &amount)
{
    FIREFLY_ASSERT(isNonNegative(amount), "a negative amount is adopted");
    amountOf(at(worker), use) += amount;
}

Resources CapacityLedger::room(WorkerIndex worker) const
{
    const Row &row = at(worker);
    return row.capacity - row.urgent - row.batch;
}

bool CapacityLedger::isIdle(WorkerIndex worker) const
{
    const Row &row = at(worker);
    return row.urgent == Resources{} && row.batch == Resources{};
}

bool CapacityLedger::isOvercommitted(WorkerIndex worker) const
{
    return !isNonNegative(room(worker));
}

nlohmann::json CapacityLedger::dump(WorkerIndex worker) const
{
    const Row &row = at(worker);
    return {{"capacity", toJson(row.capacity)},
            {"urgent", toJson(row.urgent)},
            {"batch", toJson(row.batch)},
            {"overcommitted", isOvercommitted(worker)}};
}

const CapacityLedger::Row &CapacityLedger::at(WorkerIndex worker) const
{
    FIREFLY_ASSERT(toPosition(worker) < m_rows.size() && m_rows[toPosition(worker)].present,
                   "no such worker in the ledger");
    return m_rows[toPosition(worker)];
}

CapacityLedger::Row &CapacityLedger::at(WorkerIndex worker)
{
    FIREFLY_ASSERT(toPosition(worker) < m_rows.size() && m_rows[toPosition(worker)].present,
                   "no such worker in the ledger");
    return m_rows[toPosition(worker)];
}

Resources &CapacityLedger::amountOf(Row &row, WorkUse use)
{
    return use == WorkUse::Urgent ? row.urgent : row.batch;
}

} // namespace firefly
