#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace firefly::ctl {

/// Width in columns; that of a phone held upright.
constexpr std::size_t ScreenWidth = 40;

/// Wraps each line of \a text at spaces to ScreenWidth; continuations are indented by two more.
/// A word that is longer than a line is not broken.
std::string wrapText(std::string_view text);

/// Formats \a json as indented and wrapped "key: value" lines.
std::string formatOutline(const nlohmann::json &json);

/// Formats the reply to a conflicting edit: the entries that differ between both versions.
std::string formatConflict(const std::string &list, const nlohmann::json &reply);

/// Formats the validation errors of a rejected edit, one paragraph each.
std::string formatFindings(const nlohmann::json &reply);

} // namespace firefly::ctl
