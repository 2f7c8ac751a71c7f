#pragma once

#include <string_view>

namespace firefly {

/// Longest name of an entry, zone, service, customer, plan or kind of job.
constexpr std::size_t MaxNameLength = 64;

/// What isName() accepts, for messages.
constexpr std::string_view NameRule = "expected 1 to 64 letters, digits, '-', '_' or '.'";

/// True for a name that is safe in paths, headers and log records.
bool isName(std::string_view text);

} // namespace firefly
