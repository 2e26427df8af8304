#pragma once

#include <cstdint>
#include <string>

/// Structured logging. Each event is one line of key=value pairs.
namespace poplarpitch {

/// Writes events of `level` (debug, info, warn, error) and above to standard error. Each line is written at
/// once. Precondition: called once, before the first event. Thread safety: none.
void start_logging(const std::string& level);

/// Writes logs to standard output through a bounded queue, so that logging never blocks on a slow reader. The
/// lines are written by `flush_logs`. Precondition: as for `start_logging`. Thread safety: none.
void start_ring_logging(const std::string& level);

/// Writes as many queued lines as standard output accepts without blocking. Does nothing without a queue.
/// Thread safety: one thread.
void flush_logs();

/// Returns the number of lines left out because the queue was full. Thread safety: as for `flush_logs`.
[[nodiscard]] std::uint64_t get_left_out_log_lines();

} // namespace poplarpitch
