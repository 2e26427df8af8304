#include "poplarpitch/transport/http_server.h"

#include "poplarpitch/transport/connection_headers.h"
#include "poplarpitch/transport/thread_pool.h"
#include "poplarpitch/transport/transport_error.h"

#include <httplib.h>
#include <sys/socket.h>

#include <atomic>
#include <thread>

namespace poplarpitch {
namespace {

constexpr int listen_backlog = 4096; // cpp-httplib uses 5, which delays bursts of connects by a second

/// Adapts `thread_pool` to the task queue interface of cpp-httplib.
class connection_task_queue final : public httplib::TaskQueue {
public:
    explicit connection_task_queue(int max_threads) : m_threads(max_threads) {}
    void enqueue(std::function<void()> task) override { m_threads.run(std::move(task)); }
    void shutdown() override { m_threads.shut_down(); }

private:
    thread_pool m_threads;
};

http_request read_request(const httplib::Request& source) {
    http_request request;
    request.method = source.method;
    request.target = source.target;
    request.body = source.body;
    for (const auto& [name, value] : source.headers) {
        request.headers.add(name, value);
    }
    return request;
}

void write_response(const http_response& source, httplib::Response& target) {
    target.status = source.status;
    for (const auto& header : source.headers.get_all()) {
        if (!is_connection_header(header.name)) {
            target.set_header(header.name, header.value);
        }
    }
    target.set_content(source.body, source.content_type);
}

timeval to_timeval(duration value) {
    const auto whole = std::chrono::duration_cast<seconds>(value);
    const auto rest = std::chrono::duration_cast<std::chrono::microseconds>(value - whole);
    return {static_cast<time_t>(whole.count()), static_cast<suseconds_t>(rest.count())};
}

} // namespace

struct http_server::state {
    http_server_settings settings;
    handler handle;
    httplib::Server server;
    std::thread acceptor;
    std::atomic<int> active{0};
    std::atomic<bool> is_stopped{false};
    int listener = -1;

    void serve(const httplib::Request& source, httplib::Response& target) {
        ++active;
        write_response(handle(read_request(source)), target);
        --active;
    }
};

http_server::http_server(const http_server_settings& settings, handler handle)
    : m_state(std::make_unique<state>()) {
    m_state->settings = settings;
    m_state->handle = std::move(handle);
    auto& server = m_state->server;
    const int threads = settings.max_connections;
    server.new_task_queue = [threads] {
        return new connection_task_queue(threads);
    }; // cpp-httplib deletes it
    server.set_tcp_nodelay(true);
    server.set_payload_max_length(static_cast<std::size_t>(settings.max_body));
    server.set_keep_alive_timeout(std::chrono::duration_cast<seconds>(settings.keep_alive).count());
    server.set_keep_alive_max_count(1'000'000);
    const auto timeout = to_timeval(settings.read_timeout);
    server.set_read_timeout(timeout.tv_sec, timeout.tv_usec);
    server.set_socket_options([this](socket_t socket) {
        m_state->listener = socket;
        const int on = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    const auto serve = [this](const httplib::Request& source, httplib::Response& target) {
        m_state->serve(source, target);
    };
    const char* any_path = "(?:.|\n|\r)*";
    server.Get(any_path, serve).Post(any_path, serve).Put(any_path, serve).Delete(any_path, serve);
    server.set_error_handler([](const httplib::Request&, httplib::Response& target) {
        if (target.body.empty()) {
            const auto code = target.status == 413 ? "body_too_large" : "bad_request";
            const auto body =
                make_error_response(target.status, code, "the request cannot be read or is too large");
            target.set_content(body.body, body.content_type);
        }
    });
    server.set_exception_handler([](const httplib::Request&, httplib::Response& target,
                                    const std::exception_ptr& /*cause*/) { target.status = 500; });
}

http_server::~http_server() {
    stop();
}

result<int> http_server::start() {
    auto& server = m_state->server;
    const auto& settings = m_state->settings;
    int port = settings.port;
    if (port == 0) {
        port = server.bind_to_any_port(settings.host);
    } else if (!server.bind_to_port(settings.host, port)) {
        port = -1;
    }
    if (port <= 0) {
        return make_error_code(transport_errc::listen_failed);
    }
    ::listen(m_state->listener, listen_backlog);
    m_state->acceptor = std::thread([this] { m_state->server.listen_after_bind(); });
    while (!server.is_running()) {
        std::this_thread::yield();
    }
    return port;
}

void http_server::stop() {
    if (m_state->is_stopped.exchange(true)) {
        return;
    }
    m_state->server.stop();
    if (m_state->acceptor.joinable()) {
        m_state->acceptor.join();
    }
}

int http_server::get_active() const {
    return m_state->active.load();
}

} // namespace poplarpitch
