#include "poplarpitch/telemetry/line_ring.h"

#include <cerrno>
#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr std::size_t chunk_bytes =
    4096; // PIPE_BUF: a pipe that polls as writable accepts this much without blocking

bool is_writable(int descriptor) {
    pollfd item{descriptor, POLLOUT, 0};
    return ::poll(&item, 1, 0) > 0;
}

} // namespace

void line_ring::add(std::string line, log_class line_class) {
    const auto reserve = line_class == log_class::history ? 0 : m_reserve;
    if (m_bytes + line.size() + reserve > m_capacity) {
        ++m_left_out;
        ++m_unreported;
        return;
    }
    if (line_class == log_class::ordinary) { // the notice must not use the space reserved for history lines
        add_left_out_notice();
    }
    m_bytes += line.size();
    m_lines.push_back(std::move(line));
}

void line_ring::add_left_out_notice() {
    if (m_unreported == 0) {
        return;
    }
    auto line = "level=WARN event=log_lines_left_out count=" + std::to_string(m_unreported) + "\n";
    m_unreported = 0;
    m_bytes += line.size();
    m_lines.push_back(std::move(line));
}

void line_ring::write_to(int descriptor) {
    while (!m_lines.empty() && is_writable(descriptor)) {
        std::string bytes;
        for (const auto& line : m_lines) {
            const auto first = bytes.empty() ? m_written : 0;
            if (!bytes.empty() && bytes.size() + line.size() > chunk_bytes) {
                break;
            }
            bytes.append(line, first, chunk_bytes);
        }
        const auto count = ::write(descriptor, bytes.data(), std::min(bytes.size(), chunk_bytes));
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        auto left = count < 0 ? bytes.size() : static_cast<std::size_t>(count); // on an error all are dropped
        while (left > 0 && !m_lines.empty()) {
            const auto rest = m_lines.front().size() - m_written;
            if (left < rest) {
                m_written += left;
                break;
            }
            left -= rest;
            m_bytes -= m_lines.front().size();
            m_written = 0;
            m_lines.pop_front();
        }
    }
}

} // namespace poplarpitch
