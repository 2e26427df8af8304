#pragma once

#include "poplarpitch/telemetry/line_ring.h"

#include <log4cplus/appender.h>

namespace poplarpitch {

/// A log4cplus appender that queues lines in a `line_ring`. The daemon's loop writes them out later, so that
/// logging never blocks on a slow reader. Thread safety: as log4cplus appenders; `flush` on the daemon's
/// thread.
class ring_appender : public log4cplus::Appender {
public:
    explicit ring_appender(std::size_t capacity, std::size_t reserve = 0) : m_ring(capacity, reserve) {}
    ~ring_appender() override;
    ring_appender(const ring_appender&) = delete;
    ring_appender& operator=(const ring_appender&) = delete;

    /// Writes as much as standard output accepts without blocking.
    void flush();
    /// Writes the queued lines and closes the appender.
    void close() override;
    [[nodiscard]] const line_ring& get_ring() const { return m_ring; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    line_ring m_ring;
};

} // namespace poplarpitch
