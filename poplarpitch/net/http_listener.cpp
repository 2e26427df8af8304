#include "poplarpitch/net/http_listener.h"

#include "poplarpitch/net/http_sessions.h"
#include "poplarpitch/net/memory_budget.h"

#include <utility>

namespace poplarpitch {
namespace {

constexpr std::size_t default_memory_limit = 64U << 20;

} // namespace

http_listener::http_listener(event_loop& loop, memory_budget& budget, const http_listener_settings& settings,
                             request_handler handler)
    : m_sessions(std::make_shared<http_sessions>(loop, budget, settings, std::move(handler))) {}

http_listener::http_listener(event_loop& loop, const http_listener_settings& settings,
                             request_handler handler)
    : m_own_budget(std::make_unique<memory_budget>(default_memory_limit)),
      m_sessions(std::make_shared<http_sessions>(loop, *m_own_budget, settings, std::move(handler))) {}

http_listener::~http_listener() {
    m_sessions->close();
}

result<int> http_listener::start() {
    return m_sessions->start();
}

void http_listener::set_limits(const http_limits& limits) {
    m_sessions->set_limits(limits);
}

void http_listener::close_connections_after_responses() {
    m_sessions->close_after_responses();
}

void http_listener::drain() {
    m_sessions->drain();
}

std::size_t http_listener::get_open_requests() const {
    return m_sessions->get_open_requests();
}

std::uint64_t http_listener::get_abandoned_requests() const {
    return m_sessions->get_abandoned_requests();
}

const http_refusal_counts& http_listener::get_refusals() const {
    return m_sessions->get_refusals();
}

std::size_t http_listener::get_connections() const {
    return m_sessions->get_connections();
}

} // namespace poplarpitch
