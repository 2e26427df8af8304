#pragma once

namespace poplarpitch {

/// Bounds the number of malloc's arenas. The C library makes up to 8 for each core, and memory freed in one
/// is not used by another; a daemon with many threads and little memory does with few. Thread safety: none;
/// called before threads start.
void limit_malloc_arenas(int count);

/// Switches off Abseil's search for lock cycles, which Debian's build of Abseil has on: it takes one lock for
/// the whole process at each lock. Tests keep it on. Thread safety: none; called before threads start.
void skip_mutex_checks();

/// Ends the process with `code` after its output is written, without waiting for idle threads that libraries
/// keep: the logger's pool was seen to hold up processes past their time to stop. Thread safety: none; called
/// last in a main.
[[noreturn]] void leave_process(int code);

} // namespace poplarpitch
