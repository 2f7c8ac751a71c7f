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
    WorkerIndex worker{static_cast<std::uint32_t>(m_entries.size())};
    if (m_freeIndices.empty()) {
        m_entries.emplace_back();
    } else {
        worker = m_freeIndices.back();
        m_freeIndices.pop_back();
    }
    m_entries[toPosition(worker)] = {.capacity = capacity, .isPresent = true};
    return worker;
}

void CapacityLedger::remove(WorkerIndex worker)
{
    FIREFLY_ASSERT(isIdle(worker), "a worker that still has reservations is removed");
    at(worker).isPresent = false;
    m_freeIndices.push_back(worker);
}

void CapacityLedger::setCapacity(WorkerIndex worker, const Resources &capacity)
{
    at(worker).capacity = capacity;
}

bool CapacityLedger::reserve(WorkerIndex worker, WorkClass workClass, const Resources &amount)
{
    FIREFLY_ASSERT(isNonNegative(amount), "a negative amount is reserved");
    if (!amount.fitsIn(freeCapacity(worker))) {
        return false;
    }
    amountOf(at(worker), workClass) += amount;
    FIREFLY_ASSERT(!isOvercommitted(worker), "a reservation exceeds the worker's capacity");
    return true;
}

void CapacityLedger::release(WorkerIndex worker, WorkClass workClass, const Resources &amount)
{
    Resources &inUse = amountOf(at(worker), workClass);
    FIREFLY_ASSERT(amount.fitsIn(inUse), "more is released than was reserved");
    inUse -= amount;
}

void CapacityLedger::adopt(WorkerIndex worker, WorkClass workClass, const Resources &amount)
{
    FIREFLY_ASSERT(isNonNegative(amount), "a negative amount is adopted");
    amountOf(at(worker), workClass) += amount;
}

Resources CapacityLedger::freeCapacity(WorkerIndex worker) const
{
    const Entry &entry = at(worker);
    return entry.capacity - entry.urgent - entry.batch;
}

bool CapacityLedger::isIdle(WorkerIndex worker) const
{
    const Entry &entry = at(worker);
    return entry.urgent == Resources{} && entry.batch == Resources{};
}

bool CapacityLedger::isOvercommitted(WorkerIndex worker) const
{
    return !isNonNegative(freeCapacity(worker));
}

nlohmann::json CapacityLedger::dump(WorkerIndex worker) const
{
    const Entry &entry = at(worker);
    return {{"capacity", toJson(entry.capacity)},
            {"urgent", toJson(entry.urgent)},
            {"batch", toJson(entry.batch)},
            {"overcommitted", isOvercommitted(worker)}};
}

const CapacityLedger::Entry &CapacityLedger::at(WorkerIndex worker) const
{
    FIREFLY_ASSERT(toPosition(worker) < m_entries.size() && m_entries[toPosition(worker)].isPresent,
                   "no such worker in the ledger");
    return m_entries[toPosition(worker)];
}

CapacityLedger::Entry &CapacityLedger::at(WorkerIndex worker)
{
    FIREFLY_ASSERT(toPosition(worker) < m_entries.size() && m_entries[toPosition(worker)].isPresent,
                   "no such worker in the ledger");
    return m_entries[toPosition(worker)];
}

Resources &CapacityLedger::amountOf(Entry &entry, WorkClass workClass)
{
    return workClass == WorkClass::Urgent ? entry.urgent : entry.batch;
}

} // namespace firefly
