#pragma once

namespace poplarpitch {

/// Limits the number of malloc arenas. The C library creates up to 8 for each core, and memory freed in one
/// is not reused by another. A daemon with many threads and little memory needs only a few. Thread safety:
/// none; called before threads start.
void limit_malloc_arenas(int count);

/// Disables Abseil's deadlock detection, which is enabled in Debian's build of Abseil. It takes a
/// process-wide lock each time a mutex is locked. Tests keep it enabled. Thread safety: none; called before
/// threads start.
void disable_deadlock_detection();

/// Flushes the output and ends the process with `code` without waiting for idle threads of libraries. The
/// thread pool of the logger was seen to delay processes beyond their time limit for stopping. Thread safety:
/// none; called last in main.
[[noreturn]] void exit_without_cleanup(int code);

} // namespace poplarpitch
