#pragma once

#include <absl/strings/string_view.h>

#include <string_view>

namespace poplarpitch {

/// Returns `text` as Abseil's own view type, because Debian builds Abseil without std::string_view.
/// Thread safety: any thread.
inline absl::string_view to_absl(std::string_view text) {
    return {text.data(), text.size()};
}

/// Converts Abseil's view type to std::string_view. Thread safety: any thread.
inline std::string_view from_absl(absl::string_view text) {
    return {text.data(), text.size()};
}

/// Returns `text` without leading and trailing ASCII whitespace. Thread safety: any thread.
[[nodiscard]] std::string_view strip(std::string_view text);

/// Returns true when `text` is well-formed UTF-8: no overlong forms, no surrogates. Text of other processes
/// must be checked with it before it is stored in a protobuf field of type `string`, which is written with
/// any bytes but cannot be parsed again. Thread safety: any thread.
[[nodiscard]] bool is_utf8(std::string_view text);

} // namespace poplarpitch
