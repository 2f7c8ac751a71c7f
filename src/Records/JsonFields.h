#pragma once

#include <nlohmann/json.hpp>

/// Defines to_json() and from_json() of \a Type from the named fields, all of which are required.
///
/// Unlike those of NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE the functions are not inline, so that a
/// header can declare them and only one source file includes json.hpp.
#define FIREFLY_JSON(Type, ...)                                                                    \
    void to_json(nlohmann::json &nlohmann_json_j, const Type &nlohmann_json_t)                     \
    {                                                                                              \
        NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_TO, __VA_ARGS__))                   \
    }                                                                                              \
    void from_json(const nlohmann::json &nlohmann_json_j, Type &nlohmann_json_t)                   \
    {                                                                                              \
        NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_FROM, __VA_ARGS__))                 \
    }
