#include "poplarpitch/tools/operator_client.h"

#include "poplarpitch/core/system_clock.h"

namespace poplarpitch {
namespace {

http_client_settings make_settings() {
    http_client_settings settings;
    settings.max_body = 256LL << 20; // snapshots
    return settings;
}

} // namespace

operator_client::operator_client(std::vector<std::string> entries, duration timeout)
    : m_entries(std::move(entries)), m_timeout(timeout), m_pool(make_settings()) {}

http_exchange operator_client::send(const http_request& request) {
    http_exchange exchange;
    for (const auto& entry : m_entries) {
        exchange = m_pool.send(entry, request, system_clock().now() + m_timeout, connection_choice::fresh);
        if (exchange.progress != exchange_progress::not_sent) {
            break;
        }
    }
    return exchange;
}

} // namespace poplarpitch
