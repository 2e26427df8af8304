#include "poplarpitch/telemetry/ring_appender.h"

#include "poplarpitch/telemetry/history_logger.h"

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <sstream>
#include <unistd.h>

namespace poplarpitch {

ring_appender::~ring_appender() {
    destructorImpl();
}

void ring_appender::flush() {
    m_ring.write_to(STDOUT_FILENO);
}

void ring_appender::close() {
    flush();
    closed = true;
}

void ring_appender::append(const log4cplus::spi::InternalLoggingEvent& event) {
    std::ostringstream line;
    layout->formatAndAppend(line, event);
    const bool is_history = event.getLoggerName() == history_logger;
    m_ring.add(line.str(), is_history ? log_class::history : log_class::ordinary);
}

} // namespace poplarpitch
