#include "poplarpitch/net/http_caller.h"

#include "poplarpitch/net/http_connections.h"
#include "poplarpitch/net/http_exchange.h"
#include "poplarpitch/net/memory_budget.h"

namespace poplarpitch {
namespace {

constexpr std::size_t default_memory_limit = 64U << 20;

} // namespace

http_caller::http_caller(event_loop& loop, memory_budget& budget, const http_caller_settings& settings)
    : m_connections(std::make_shared<http_connections>(loop, budget, settings)) {}

http_caller::http_caller(event_loop& loop, const http_caller_settings& settings)
    : m_own_budget(std::make_unique<memory_budget>(default_memory_limit)),
      m_connections(std::make_shared<http_connections>(loop, *m_own_budget, settings)) {}

http_caller::~http_caller() {
    m_connections->abandon_all();
}

void http_caller::send(http_call call, response_handler on_response) {
    std::make_shared<http_exchange>(m_connections, std::move(call), std::move(on_response))->start();
}

http_caller_stats http_caller::get_stats() const {
    return m_connections->get_stats();
}

} // namespace poplarpitch
