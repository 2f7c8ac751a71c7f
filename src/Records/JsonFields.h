#pragma once

#include <nlohmann/json.hpp>

/// Defines to_json() and from_json() of \a Type by the named fields, all of them required.
///
/// Unlike NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE not inline, so that a header can declare them and
/// leave json.hpp to one source file.
#define FIREFLY_JSON(Type, ...)                                                                    \
    void to_json(nlohmann::json &nlohmann_json_j, const Type &nlohmann_json_t)                     \
    {                                                                                              \
        NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_TO, __VA_ARGS__))                   \
    }                                                                                              \
    void from_json(const nlohmann::json &nlohmann_json_j, Type &nlohmann_json_t)                   \
    {                                                                                              \
        NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_FROM, __VA_ARGS__))                 \
    }
