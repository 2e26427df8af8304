#include "poplarpitch/transport/http_cancel_token.h"

namespace poplarpitch {

void http_cancel_token::cancel() {
    const absl::MutexLock lock(&m_mutex);
    m_is_cancelled = true;
    if (m_stop) {
        m_stop();
    }
}

bool http_cancel_token::is_cancelled() const {
    const absl::MutexLock lock(&m_mutex);
    return m_is_cancelled;
}

bool http_cancel_token::attach(std::function<void()> stop) {
    const absl::MutexLock lock(&m_mutex);
    if (m_is_cancelled) {
        return false;
    }
    m_stop = std::move(stop);
    return true;
}

void http_cancel_token::detach() {
    const absl::MutexLock lock(&m_mutex);
    m_stop = nullptr;
}

} // namespace poplarpitch
