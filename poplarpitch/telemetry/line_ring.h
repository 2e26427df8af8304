#pragma once

#include "poplarpitch/telemetry/log_event.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace poplarpitch {

/// A queue of log lines for a reader that may be slow or gone, bounded in bytes. When it is full, new lines
/// are left out and counted. A line with the count follows once there is room. Part of the space is reserved
/// for lines of `log_class::history`, so that many ordinary lines cannot displace them. Thread safety: none.
class line_ring {
public:
    /// `capacity` is the maximum number of bytes. `reserve` is how many of them ordinary lines must leave
    /// free.
    explicit line_ring(std::size_t capacity, std::size_t reserve = 0)
        : m_capacity(capacity), m_reserve(reserve) {}

    /// Adds a line, or counts it as left out. Precondition: the line ends with a line feed.
    void add(std::string line, log_class line_class = log_class::ordinary);
    /// Writes as much as the descriptor accepts without blocking. If a write fails, drops the lines, because
    /// nobody reads them any more.
    void write_to(int descriptor);
    /// Returns true when no lines are queued.
    [[nodiscard]] bool is_empty() const { return m_lines.empty(); }
    /// Returns the number of lines left out since the start.
    [[nodiscard]] std::uint64_t get_left_out() const { return m_left_out; }

private:
    void add_left_out_notice();

    std::size_t m_capacity;
    std::size_t m_reserve;
    std::deque<std::string> m_lines;
    std::size_t m_bytes = 0;
    std::size_t m_written = 0; ///< bytes of the first line that were written already
    std::uint64_t m_left_out = 0;
    std::uint64_t m_unreported = 0; ///< lines left out that no notice has reported yet
};

} // namespace poplarpitch
