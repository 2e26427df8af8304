#include "poplarpitch/core/text.h"

#include <absl/strings/ascii.h>
#include <boost/locale/utf.hpp>

namespace poplarpitch {

std::string_view strip(std::string_view text) {
    return from_absl(absl::StripAsciiWhitespace(to_absl(text)));
}

bool is_utf8(std::string_view text) {
    namespace utf = boost::locale::utf;
    const auto* position = text.data();
    const auto* const end = position + text.size();
    while (position != end) {
        if (!utf::is_valid_codepoint(utf::utf_traits<char>::decode(position, end))) {
            return false;
        }
    }
    return true;
}

} // namespace poplarpitch
