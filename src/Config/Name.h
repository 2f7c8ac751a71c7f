#pragma once

#include <string_view>

namespace firefly {

/// Maximum length of the name of an entry, zone, service, customer, plan or kind of job.
constexpr std::size_t MaxNameLength = 64;

/// Description of the names that isValidName() accepts, for error messages.
constexpr std::string_view NameRule = "expected 1 to 64 letters, digits, '-', '_' or '.'";

/// True for a name that is safe to use in paths, headers and log records.
bool isValidName(std::string_view text);

} // namespace firefly
