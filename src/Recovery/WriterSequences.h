#pragma once

#include "Core/Id.h"
#include "Records/Record.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <map>

namespace firefly {

/// The last sequence number seen of each writer: filters records that were appended twice.
///
/// Bounded: the writer that has been silent for the most offsets is forgotten first.
class WriterSequences
{
public:
    /// Writers remembered; an entry's restart makes a new one.
    static constexpr std::size_t MaxWriters = 4096;

    /// Notes \a logged; false when its sequence number was seen before.
    bool admit(const LoggedEnvelope &logged);
    /// Last sequence number seen of \a writer; 0 when it is unknown.
    std::uint64_t last(const WriterId &writer) const;

    nlohmann::json save() const;
    void load(const nlohmann::json &json);

private:
    struct Seen
    {
        std::uint64_t sequence = 0;
        Offset offset = 0;
    };

    void note(const WriterId &writer, Seen seen);

    std::map<WriterId, Seen> m_seen;
    std::map<Offset, WriterId> m_byOffset;
};

} // namespace firefly
