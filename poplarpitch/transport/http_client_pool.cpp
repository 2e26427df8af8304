#include "poplarpitch/transport/http_client_pool.h"

#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/transport/connection_headers.h"
#include "poplarpitch/transport/http_cancel_token.h"
#include "poplarpitch/transport/transport_error.h"

#include <httplib.h>

#include <algorithm>

namespace poplarpitch {
namespace {

exchange_progress get_progress(httplib::Error error) {
    switch (error) {
    case httplib::Error::Success:
        return exchange_progress::answered;
    case httplib::Error::Connection:
    case httplib::Error::BindIPAddress:
    case httplib::Error::ConnectionTimeout:
        return exchange_progress::not_sent;
    default:
        return exchange_progress::maybe_sent;
    }
}

} // namespace

struct http_client_pool::connection {
    explicit connection(const std::string& address) : client("http://" + address) {
        client.set_keep_alive(true);
        client.set_tcp_nodelay(true);
        client.set_follow_location(false);
        client.set_decompress(false); // bodies are forwarded unchanged
    }

    httplib::Client client;
    time_point last_answer{};
};

http_client_pool::http_client_pool(const http_client_settings& settings) : m_settings(settings) {}
http_client_pool::~http_client_pool() = default;

std::unique_ptr<http_client_pool::connection>
http_client_pool::take(const std::string& address, connection_choice choice, time_point now) {
    std::vector<std::unique_ptr<connection>> stale; // declared before the lock, so closed after its release
    if (choice != connection_choice::fresh) {
        const auto max_age =
            choice == connection_choice::known_alive ? m_settings.alive_window : m_settings.max_idle_age;
        const absl::MutexLock lock(&m_mutex);
        auto& idle = m_idle[address];
        if (!idle.empty()) {
            auto newest = std::move(idle.back());
            idle.pop_back();
            if (now - newest->last_answer < max_age) {
                return newest;
            }
            stale.push_back(std::move(newest));
            if (choice == connection_choice::pooled) {
                // The connection used last is too old, so all others are too.
                std::move(idle.begin(), idle.end(), std::back_inserter(stale));
                idle.clear();
            }
        }
    }
    return std::make_unique<connection>(address);
}

void http_client_pool::put_back(const std::string& address, std::unique_ptr<connection> used,
                                time_point now) {
    used->last_answer = now;
    std::unique_ptr<connection> oldest;
    const absl::MutexLock lock(&m_mutex);
    auto& idle = m_idle[address];
    idle.push_back(std::move(used));
    const bool must_close_oldest =
        idle.size() > m_settings.max_idle || now - idle.front()->last_answer > m_settings.max_idle_age;
    if (must_close_oldest) {
        oldest = std::move(idle.front());
        idle.erase(idle.begin());
    }
}

void http_client_pool::drop(const std::string& address) {
    std::vector<std::unique_ptr<connection>> dropped;
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_idle.find(address);
    if (found != m_idle.end()) {
        dropped.swap(found->second);
    }
}

http_exchange http_client_pool::send(const std::string& address, const http_request& request,
                                     time_point deadline, connection_choice choice,
                                     http_cancel_token* cancel) {
    const system_clock clock;
    const auto started = clock.now();
    http_exchange exchange;
    if (started >= deadline) {
        exchange.error = transport_errc::timed_out;
        return exchange;
    }
    auto used = take(address, choice, started);
    auto& client = used->client;
    const auto remaining = deadline - started;
    client.set_connection_timeout(std::chrono::ceil<std::chrono::microseconds>(
        std::min<duration>(remaining, m_settings.connect_timeout)));
    client.set_read_timeout(std::chrono::ceil<std::chrono::microseconds>(remaining));
    client.set_write_timeout(std::chrono::ceil<std::chrono::microseconds>(remaining));

    httplib::Request outgoing;
    outgoing.method = request.method;
    outgoing.path = request.target;
    outgoing.body = request.body;
    for (const auto& header : request.headers.get_all()) {
        if (!is_connection_header(header.name)) {
            outgoing.headers.emplace(header.name, header.value);
        }
    }
    const auto content_type = request.headers.get("Content-Type");
    outgoing.headers.emplace("Content-Type",
                             content_type.empty() ? "application/octet-stream" : content_type);

    // The read timeout of cpp-httplib applies to each read alone, so the deadline and the size are checked on
    // each chunk.
    bool is_too_large = false;
    std::string body;
    outgoing.content_receiver = [&](const char* data, std::size_t length, std::uint64_t, std::uint64_t) {
        is_too_large = body.size() + length > static_cast<std::size_t>(m_settings.max_body);
        if (is_too_large || clock.now() > deadline) {
            return false;
        }
        body.append(data, length);
        return true;
    };
    if (cancel != nullptr && !cancel->attach([&client] { client.stop(); })) {
        exchange.error = transport_errc::timed_out;
        return exchange; // cancelled before anything was sent
    }
    const auto answer = client.send(outgoing);
    if (cancel != nullptr) {
        cancel->detach();
    }
    exchange.progress = get_progress(answer.error());
    if (exchange.progress != exchange_progress::answered) {
        const bool is_reached = exchange.progress == exchange_progress::maybe_sent;
        exchange.error = is_reached ? transport_errc::timed_out : transport_errc::unreachable;
        if (is_too_large) {
            exchange.error = transport_errc::too_large;
        }
        return exchange; // closes `used`, so a late answer on it cannot be returned for another request
    }
    exchange.response.status = answer->status;
    exchange.response.body = std::move(body);
    exchange.response.content_type = answer->get_header_value("Content-Type");
    for (const auto& [name, value] : answer->headers) {
        if (!is_connection_header(name)) {
            exchange.response.headers.add(name, value);
        }
    }
    const bool is_stopped = cancel != nullptr && cancel->is_cancelled();
    if (answer->get_header_value("Connection") != "close" && !is_stopped) {
        put_back(address, std::move(used), clock.now());
    }
    return exchange;
}

} // namespace poplarpitch
