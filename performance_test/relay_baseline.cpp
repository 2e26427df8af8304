// A minimal one-hop relay built on cpp-httplib only. Its throughput is the upper limit for an entry built on
// the same library.
#include "poplarpitch/core/process_settings.h"
#include "poplarpitch/core/stop_signal.h"
#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/transport/http_client_pool.h"
#include "poplarpitch/transport/http_server.h"

#include <iostream>

int main(int count, char** arguments) {
    if (count != 3) {
        std::cerr << "usage: relay_baseline PORT TARGET\n";
        return 2;
    }
    poplarpitch::disable_deadlock_detection();
    poplarpitch::stop_signal signal;
    const std::string target = arguments[2];
    poplarpitch::http_client_pool pool{poplarpitch::http_client_settings{}};
    poplarpitch::http_server_settings settings;
    settings.port = std::stoi(arguments[1]);
    settings.max_connections = 1024;
    poplarpitch::http_server server(settings, [&](const poplarpitch::http_request& request) {
        auto exchange =
            pool.send(target, request, poplarpitch::system_clock().now() + std::chrono::seconds{5},
                      poplarpitch::connection_choice::pooled);
        if (exchange.progress != poplarpitch::exchange_progress::answered) {
            return poplarpitch::make_error_response(502, "relay", "no answer");
        }
        return std::move(exchange.response);
    });
    if (!server.start()) {
        return 1;
    }
    signal.wait();
    server.stop();
    return 0;
}
