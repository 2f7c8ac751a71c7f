#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace firefly {

/// String identifier of one kind of object; identifiers of different kinds do not convert.
template <typename Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string value)
        : m_value(std::move(value))
    {}
    explicit Id(std::string_view value)
        : m_value(value)
    {}
    explicit Id(const char *value)
        : m_value(value)
    {}

    const std::string &value() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }

    auto operator<=>(const Id &) const = default; // NOLINT(modernize-use-nullptr)

private:
    std::string m_value;
};

using WorkerId = Id<struct WorkerTag>;     ///< A worker: a VM that runs tasks and calls.
using EntryId = Id<struct EntryTag>;       ///< An entry process; unchanged by its restarts.
using WriterId = Id<struct WriterTag>;     ///< One run of an entry as a writer of the log.
using ShardId = Id<struct ShardTag>;       ///< A group of workers with one owner: "zone/rack".
using ZoneId = Id<struct ZoneTag>;         ///< A zone: one data centre.
using CustomerId = Id<struct CustomerTag>; ///< A customer, the holder of a plan.
using PlanId = Id<struct PlanTag>;         ///< A plan, the holder of limits.
using ServiceId = Id<struct ServiceTag>;   ///< A latency-critical service.
using JobId = Id<struct JobTag>;           ///< A batch job.
using RequestId = Id<struct RequestTag>;   ///< One request of a caller.

/// Position of a record in the log; the first record has offset 1, 0 means none.
using Offset = std::uint64_t;
/// Offset of the claim record that made an entry the owner of a shard; 0 means none.
using Term = Offset;

} // namespace firefly

template <typename Tag>
struct std::hash<firefly::Id<Tag>>
{
    std::size_t operator()(const firefly::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};
