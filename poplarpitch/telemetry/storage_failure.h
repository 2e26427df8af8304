#pragma once

#include <string>
#include <system_error>

namespace poplarpitch {

/// Ends the process because its disk cannot be trusted any more. It logs what failed and `place`, the file
/// and offset; the exit code 3 is documented for operators. Nothing is cleaned up: whatever was not synced
/// was not acknowledged either. Thread safety: any thread.
[[noreturn]] void end_on_storage_failure(const std::error_code& error, const std::string& place);

} // namespace poplarpitch
