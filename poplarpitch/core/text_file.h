#pragma once

#include <optional>
#include <string>

namespace poplarpitch {

/// Returns the content of a file, or nothing when the file cannot be opened or read to its end. `-` reads the
/// rest of standard input, so that a second call returns an empty text. Thread safety: any thread.
[[nodiscard]] std::optional<std::string> read_text_file(const std::string& name);

} // namespace poplarpitch
