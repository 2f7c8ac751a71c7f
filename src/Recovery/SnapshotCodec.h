#pragma once

#include "Core/Id.h"
#include "Recovery/WriterSequences.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace firefly {

/// Thrown for a snapshot that this version cannot read.
class SnapshotError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

namespace internal {

/// Serializes the components of a composite fold to the text of a snapshot.
class SnapshotEncoder
{
public:
    SnapshotEncoder(Offset applied, const WriterSequences &writers);
    ~SnapshotEncoder();
    SnapshotEncoder(const SnapshotEncoder &) = delete;
    SnapshotEncoder &operator=(const SnapshotEncoder &) = delete;

    void add(const nlohmann::json &part);
    std::string text() const;

private:
    std::unique_ptr<nlohmann::json> m_json;
};

/// Parses the output of SnapshotEncoder.
class SnapshotDecoder
{
public:
    /// \throws SnapshotError when \a text is malformed or does not have \a count parts.
    SnapshotDecoder(std::string_view text, std::size_t count);
    ~SnapshotDecoder();
    SnapshotDecoder(const SnapshotDecoder &) = delete;
    SnapshotDecoder &operator=(const SnapshotDecoder &) = delete;

    Offset applied() const { return m_applied; }
    const nlohmann::json &writers() const;
    const nlohmann::json &part(std::size_t index) const;

private:
    std::unique_ptr<nlohmann::json> m_json;
    Offset m_applied = 0;
};

} // namespace internal
} // namespace firefly
