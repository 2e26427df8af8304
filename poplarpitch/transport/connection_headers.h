#pragma once

#include <string_view>

namespace poplarpitch {

/// Returns true for hop-by-hop headers, which concern one connection or the framing of a body on it (RFC
/// 9110, 7.6.1), and for the pseudo-headers that cpp-httplib adds for its handlers. None of them may be
/// forwarded: the body is framed again on the next connection, and with the old framing headers the target
/// would read another body than was sent. Case-insensitive. Thread safety: any thread.
[[nodiscard]] bool is_connection_header(std::string_view name);

} // namespace poplarpitch
