#include "Recovery/SnapshotCodec.h"

#include <nlohmann/json.hpp>

namespace firefly::internal {
namespace {

constexpr int FormatVersion = 1;

} // namespace

SnapshotEncoder::SnapshotEncoder(Offset applied, const WriterSequences &writers)
    : m_json(std::make_unique<nlohmann::json>())
{
    *m_json = {{"format", FormatVersion},
               {"applied", applied},
               {"writers", writers.save()},
               {"parts", nlohmann::json::array()}};
}

SnapshotEncoder::~SnapshotEncoder() = default;

void SnapshotEncoder::add(const nlohmann::json &part)
{
    (*m_json)["parts"].push_back(part);
}

std::string SnapshotEncoder::text() const
{
    // ASCII only, so that the text can be split at any byte.
    return m_json->dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

SnapshotDecoder::SnapshotDecoder(std::string_view text, std::size_t count)
{
    try {
        m_json = std::make_unique<nlohmann::json>(nlohmann::json::parse(text));
        if (m_json->at("format") != FormatVersion) {
            throw SnapshotError("snapshot format is " + m_json->at("format").dump() + ", expected "
                                + std::to_string(FormatVersion));
        }
        if (m_json->at("parts").size() != count || !m_json->at("writers").is_object()) {
            throw SnapshotError("snapshot does not have the parts that this version expects");
        }
        m_applied = m_json->at("applied").get<Offset>();
    } catch (const nlohmann::json::exception &e) {
        throw SnapshotError(e.what());
    }
}

SnapshotDecoder::~SnapshotDecoder() = default;

const nlohmann::json &SnapshotDecoder::writers() const
{
    return m_json->at("writers");
}

const nlohmann::json &SnapshotDecoder::part(std::size_t index) const
{
    return m_json->at("parts").at(index);
}

} // namespace firefly::internal
