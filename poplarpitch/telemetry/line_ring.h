#pragma once

#include "poplarpitch/telemetry/log_event.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace poplarpitch {

/// Log lines on their way to a reader that may be slow or gone. Bounded in bytes: when it is full, new lines
/// are left out and counted, and a line with the count follows once there is room. A part of it is kept for
/// lines of weight, so that a flood of others does not crowd them out. Thread safety: none.
class line_ring {
public:
    /// `capacity`: bytes kept at most; `reserve`: how many of them ordinary lines leave free.
    explicit line_ring(std::size_t capacity, std::size_t reserve = 0)
        : m_capacity(capacity), m_reserve(reserve) {}

    /// Adds a line, which ends with a line feed, or counts it as left out.
    void add(std::string line, log_weight weight = log_weight::ordinary);
    /// Writes what the descriptor takes without waiting. A descriptor that is broken takes everything: nobody
    /// reads it any more.
    void write_to(int descriptor);
    [[nodiscard]] bool is_empty() const { return m_lines.empty(); }
    /// Returns how many lines were left out since the start.
    [[nodiscard]] std::uint64_t get_left_out() const { return m_left_out; }

private:
    void add_left_out_notice();

    std::size_t m_capacity;
    std::size_t m_reserve;
    std::deque<std::string> m_lines;
    std::size_t m_bytes = 0;
    std::size_t m_written = 0; ///< bytes of the first line that are out already
    std::uint64_t m_left_out = 0;
    std::uint64_t m_unreported = 0; ///< lines left out that no line has told of yet
};

} // namespace poplarpitch
