#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace firefly::ctl {

/// Columns of a phone held upright.
constexpr std::size_t ScreenWidth = 40;

/// Breaks each line of \a text at spaces so that it fits; continuations are indented by two more.
/// A single word that is longer than a line stays whole.
std::string wrapped(std::string_view text);

/// \a json as indented "key: value" lines, wrapped.
std::string outline(const nlohmann::json &json);

/// The reply of an edit that lost: what differs, theirs and yours.
std::string conflictText(const std::string &list, const nlohmann::json &reply);

/// The findings of a refused edit, one paragraph each.
std::string findingsText(const nlohmann::json &reply);

} // namespace firefly::ctl
