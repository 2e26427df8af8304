#pragma once

#include <rapidcheck.h>

#include <string>

namespace poplarpitch {

/// Returns a random short text in which bytes beyond ASCII are frequent. Called within a property.
inline std::string generate_bytes() {
    constexpr int first_visible = 0x21; // neither a control character nor a blank
    std::string bytes;
    const auto length = *rc::gen::inRange(0, 6);
    for (int index = 0; index < length; ++index) {
        bytes.push_back(static_cast<char>(*rc::gen::inRange(first_visible, 0x100)));
    }
    return bytes;
}

} // namespace poplarpitch
