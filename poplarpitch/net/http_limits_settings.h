#pragma once

#include "poplarpitch/net/http_limits.h"

namespace poplarpitch {

class section_reader;

/// Reads `max_header`, `max_body`, `header_timeout`, `body_timeout`, `idle_timeout` and `write_timeout` of a
/// settings section and reports errors. Missing ones are as in `fallback`. Thread safety: none.
[[nodiscard]] http_limits read_http_limits(section_reader& reader, const http_limits& fallback);

} // namespace poplarpitch
