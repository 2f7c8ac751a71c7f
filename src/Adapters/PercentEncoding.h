#pragma once

#include <string>
#include <string_view>

namespace firefly {

/// Percent-encodes every byte of \a text except the unreserved characters of RFC 3986.
inline std::string percentEncode(std::string_view text)
{
    constexpr std::string_view Unreserved =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        if (Unreserved.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += Digits[byte >> 4U];
        encoded += Digits[byte & 0xFU];
    }
    return encoded;
}

} // namespace firefly
