#include "poplarpitch/net/metrics_endpoint.h"

#include <utility>

namespace poplarpitch {
namespace {

constexpr std::size_t max_connections = 64; // one reader each few seconds; the descriptors are for others

} // namespace

std::unique_ptr<http_listener> serve_metrics(event_loop& loop, memory_budget& budget, const std::string& host,
                                             int port, std::function<std::string()> format) {
    http_listener_settings settings;
    settings.host = host;
    settings.port = port;
    settings.kind = endpoint_kind::metrics;
    settings.max_connections = max_connections;
    auto listener = std::make_unique<http_listener>(
        loop, budget, settings,
        [format = std::move(format)](const http_request& request, const http_responder& respond) {
            if (request.get_path() != "/metrics") {
                respond(make_error_response(404, "not_found", "metrics are at /metrics"));
                return;
            }
            http_response response;
            response.content_type = "text/plain; version=0.0.4";
            response.body = format();
            respond(response);
        });
    return listener->start() ? std::move(listener) : nullptr;
}

} // namespace poplarpitch
