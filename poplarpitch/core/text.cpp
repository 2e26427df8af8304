#include "poplarpitch/core/text.h"

#include <absl/strings/ascii.h>

namespace poplarpitch {

std::string_view strip(std::string_view text) {
    return from_absl(absl::StripAsciiWhitespace(to_absl(text)));
}

} // namespace poplarpitch
