#pragma once

#include "Core/Id.h"
#include "Records/Record.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <map>

namespace firefly {

/// Last sequence number of each writer, to detect records that were appended twice.
///
/// Bounded: the writer whose last record is the oldest is removed first.
class WriterSequences
{
public:
    /// Maximum number of writers; each restart of an entry adds one.
    static constexpr std::size_t MaxWriters = 4096;

    /// Stores the sequence number of \a logged; false if it is not above the last one.
    bool recordIfNew(const LoggedEnvelope &logged);
    /// Last sequence number of \a writer; 0 if the writer is unknown.
    std::uint64_t last(const WriterId &writer) const;

    nlohmann::json save() const;
    void load(const nlohmann::json &json);

private:
    struct LastRecord
    {
        std::uint64_t sequence = 0;
        Offset offset = 0;
    };

    void setLast(const WriterId &writer, LastRecord record);

    std::map<WriterId, LastRecord> m_lastByWriter;
    std::map<Offset, WriterId> m_writerByOffset;
};

} // namespace firefly
