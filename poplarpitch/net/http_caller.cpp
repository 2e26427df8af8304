#include "poplarpitch/net/http_caller.h"

#include "poplarpitch/net/http_connections.h"
#include "poplarpitch/net/http_exchange.h"

namespace poplarpitch {

http_caller::http_caller(event_loop& loop, const http_caller_settings& settings)
    : m_connections(std::make_shared<http_connections>(loop, settings)) {}

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
