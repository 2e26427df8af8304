#include "poplarpitch/core/stop_signal.h"

#include <csignal>
#include <poll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>

namespace poplarpitch {

stop_signal::stop_signal() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    m_descriptor = ::signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
    std::signal(SIGPIPE, SIG_IGN);
}

stop_signal::~stop_signal() {
    ::close(m_descriptor);
}

void stop_signal::wait() {
    while (!wait_for(seconds{3600})) {
    }
}

bool stop_signal::wait_for(duration limit) {
    if (m_is_raised) {
        return true;
    }
    pollfd item{m_descriptor, POLLIN, 0};
    ::poll(&item, 1, static_cast<int>(std::max<std::int64_t>(to_milliseconds(limit), 0)));
    signalfd_siginfo info{};
    m_is_raised = ::read(m_descriptor, &info, sizeof(info)) == static_cast<ssize_t>(sizeof(info));
    return m_is_raised;
}

bool stop_signal::is_raised() {
    return wait_for(duration{0});
}

void stop_signal::reset() {
    m_is_raised = false;
}

} // namespace poplarpitch
