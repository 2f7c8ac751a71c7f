#include "Config/Name.h"

#include <algorithm>

namespace firefly {
namespace {

bool isNameCharacter(char c)
{
    const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool isDigit = c >= '0' && c <= '9';
    return isLetter || isDigit || c == '-' || c == '_' || c == '.';
}

} // namespace

bool isValidName(std::string_view text)
{
    return !text.empty() && text.size() <= MaxNameLength
           && std::all_of(text.begin(), text.end(), isNameCharacter);
}

} // namespace firefly
