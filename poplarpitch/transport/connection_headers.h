#pragma once

#include <string_view>

namespace poplarpitch {

/// Returns true for headers that say something of one connection or of how a body is framed on it, and for
/// those that cpp-httplib makes up for its handlers: none of them may be passed on. Names as the library
/// writes them. Thread safety: any thread.
[[nodiscard]] bool is_connection_header(const std::string& name);

} // namespace poplarpitch
