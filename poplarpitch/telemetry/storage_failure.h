#pragma once

#include <string>
#include <system_error>

namespace poplarpitch {

/// Ends the process after a storage error, because the disk cannot be trusted any more. Logs the error and
/// `place`, the file and offset. The exit code is 3, which is documented for operators. Nothing is cleaned
/// up: data that was not synced was not acknowledged either. Thread safety: any thread.
[[noreturn]] void exit_on_storage_failure(const std::error_code& error, const std::string& place);

} // namespace poplarpitch
