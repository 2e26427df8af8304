#pragma once

#include <absl/strings/string_view.h>

#include <string_view>

namespace poplarpitch {

/// Returns `text` as Abseil's own view type; Debian builds Abseil without std::string_view.
/// Thread safety: any thread.
inline absl::string_view to_absl(std::string_view text) {
    return {text.data(), text.size()};
}

/// Returns Abseil's view as the standard one. Thread safety: any thread.
inline std::string_view from_absl(absl::string_view text) {
    return {text.data(), text.size()};
}

/// Returns `text` without blanks at both ends. Thread safety: any thread.
[[nodiscard]] std::string_view strip(std::string_view text);

} // namespace poplarpitch
