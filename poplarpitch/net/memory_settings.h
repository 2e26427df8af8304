#pragma once

#include <cstddef>

namespace poplarpitch {

class section_reader;

/// Reads `memory_mb` of a settings section, the memory that the machine allows the process, and reports
/// errors. Returns it in bytes, or `fallback` when it is missing, empty, or a placeholder of a template that
/// was not filled in. Thread safety: none.
[[nodiscard]] std::size_t read_memory_limit(section_reader& reader, std::size_t fallback);

/// Returns the limit of the memory that a process holds for its peers, in bytes: a quarter of its memory.
/// The rest is for its own state, and for what the kernel holds for up to 3,000 connections. Thread safety:
/// any thread.
[[nodiscard]] constexpr std::size_t get_peer_memory_limit(std::size_t memory_limit) {
    constexpr std::size_t peer_share_divisor = 4;
    return memory_limit / peer_share_divisor;
}

/// Returns the limit of the memory for all accepted jobs, in bytes: two fifths of the process's memory.
/// Thread safety: any thread.
[[nodiscard]] constexpr std::size_t get_job_memory_limit(std::size_t memory_limit) {
    constexpr std::size_t job_share_divisor = 5;
    return 2 * (memory_limit / job_share_divisor);
}

} // namespace poplarpitch
