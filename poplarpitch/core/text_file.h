#pragma once

#include <optional>
#include <string>

namespace poplarpitch {

/// Returns the bytes of a file, or nothing when it cannot be read. `-` reads standard input. Thread safety:
/// any thread.
[[nodiscard]] std::optional<std::string> read_text_file(const std::string& name);

} // namespace poplarpitch
