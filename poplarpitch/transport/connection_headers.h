#pragma once

#include <string_view>

namespace poplarpitch {

/// Returns true for headers that say something of one connection or of how a body is framed on it (RFC 9110,
/// 7.6.1), and for those that cpp-httplib makes up for its handlers: none of them may be passed on. A framing
/// header that went along with a body framed anew would make the target read another body than was sent. Case
/// does not matter. Thread safety: any thread.
[[nodiscard]] bool is_connection_header(std::string_view name);

} // namespace poplarpitch
