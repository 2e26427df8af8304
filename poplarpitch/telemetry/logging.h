#pragma once

#include <cstdint>
#include <string>

/// Structured logs: one line of key=value pairs for each event.
namespace poplarpitch {

/// Sends logs to standard error from `level` (debug, info, warn, error) on; each line is written at once.
/// Precondition: called once, before the first event. Thread safety: none.
void start_logging(const std::string& level);

/// Sends logs to standard output through a bounded ring: events never wait for who reads them. The lines go
/// out with `flush_logs`. Precondition: as `start_logging`. Thread safety: none.
void start_ring_logging(const std::string& level);

/// Writes what the ring holds and standard output takes without waiting; without a ring it does nothing.
/// Thread safety: one thread.
void flush_logs();

/// Returns how many lines the ring left out. Thread safety: as `flush_logs`.
[[nodiscard]] std::uint64_t get_left_out_log_lines();

} // namespace poplarpitch
