#pragma once

#include "Core/Id.h"

#include <nlohmann/json.hpp>

/// Serializes identifiers as JSON strings.
template <typename Tag>
struct nlohmann::adl_serializer<firefly::Id<Tag>>
{
    static void to_json(nlohmann::json &json, const firefly::Id<Tag> &id) { json = id.value(); }
    static void from_json(const nlohmann::json &json, firefly::Id<Tag> &id)
    {
        id = firefly::Id<Tag>(json.get<std::string>());
    }
};
