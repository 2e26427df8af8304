#include "poplarpitch/net/http_caller.h"

#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/net_error.h"
#include "poplarpitch/net/socket_address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace poplarpitch {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr std::uint64_t max_answer = 4U << 20; // bytes; the largest list of ends is far below

/// An open connection without a call.
struct idle_connection {
    std::unique_ptr<asio::ip::tcp::socket> socket;
    time_point since{};
};

beast::http::verb get_verb(const std::string& method) {
    return beast::http::string_to_verb(method);
}

} // namespace

struct http_caller::parts {
    parts(event_loop& owner, const http_caller_settings& chosen) : loop(owner), settings(chosen) {}

    event_loop& loop;
    http_caller_settings settings;
    std::map<std::string, std::vector<idle_connection>> idle;
    std::set<std::shared_ptr<exchange>> open;
    std::size_t opened = 0;

    std::unique_ptr<asio::ip::tcp::socket> take_idle(const std::string& address) {
        auto& list = idle[address];
        while (!list.empty()) {
            auto item = std::move(list.back());
            list.pop_back();
            if (loop.now() - item.since < settings.max_idle) {
                return std::move(item.socket);
            }
        }
        return nullptr;
    }

    void give_idle(const std::string& address, std::unique_ptr<asio::ip::tcp::socket> socket) {
        auto& list = idle[address];
        if (list.size() < settings.max_idle_per_address) {
            list.push_back({std::move(socket), loop.now()});
        }
    }
};

/// One call on its way: connect where needed, write, read.
class http_caller::exchange : public std::enable_shared_from_this<exchange> {
public:
    exchange(std::shared_ptr<parts> owner, http_call call, answer_handler on_answer)
        : m_parts(std::move(owner)), m_call(std::move(call)), m_on_answer(std::move(on_answer)) {}

    void start() {
        m_timer = m_parts->loop.call_after(m_call.timeout, [self = shared_from_this()] {
            self->m_timer = 0;
            self->on_timeout();
        });
        make_request();
        m_socket = m_call.is_fresh ? nullptr : m_parts->take_idle(m_call.address);
        m_is_reused = m_socket != nullptr;
        if (m_is_reused) {
            write();
        } else {
            connect();
        }
    }

    void abandon() {
        m_on_answer = nullptr;
        finish(make_error_code(net_errc::broken));
    }

private:
    void make_request() {
        const auto& source = m_call.request;
        m_request.method(get_verb(source.method));
        m_request.target(source.target);
        m_request.version(11);
        m_request.set(beast::http::field::host, m_call.address);
        for (const auto& header : source.headers.get_all()) {
            m_request.set(header.name, header.value);
        }
        if (!source.body.empty()) {
            m_request.set(beast::http::field::content_type, "application/json");
        }
        m_request.body() = source.body;
        m_request.prepare_payload();
    }

    void connect() {
        const auto endpoint = read_socket_address(m_call.address);
        if (!endpoint.has_value()) {
            finish(make_error_code(net_errc::unreachable));
            return;
        }
        ++m_parts->opened;
        m_socket = std::make_unique<asio::ip::tcp::socket>(m_parts->loop.get_context());
        m_connect_timer =
            m_parts->loop.call_after(m_parts->settings.connect_timeout, [self = shared_from_this()] {
                self->m_connect_timer = 0;
                self->finish(make_error_code(net_errc::unreachable));
            });
        const asio::ip::tcp::endpoint target(asio::ip::address_v4(endpoint->ip), endpoint->port);
        m_socket->async_connect(target, [self = shared_from_this()](const boost::system::error_code& error) {
            self->on_connected(error);
        });
    }

    void on_connected(const boost::system::error_code& error) {
        if (m_is_finished) {
            return;
        }
        m_parts->loop.cancel(m_connect_timer);
        m_connect_timer = 0;
        if (error) {
            finish(make_error_code(net_errc::unreachable));
            return;
        }
        boost::system::error_code ignored; // without it requests only wait a little longer
        m_socket->set_option(asio::ip::tcp::no_delay(true), ignored);
        write();
    }

    void write() {
        m_is_sent = true;
        beast::http::async_write(*m_socket, m_request,
                                 [self = shared_from_this()](const beast::error_code& error, std::size_t) {
                                     self->on_written(error);
                                 });
    }

    void on_written(const beast::error_code& error) {
        if (m_is_finished) {
            return;
        }
        if (error) {
            on_broken();
            return;
        }
        m_parser.emplace();
        m_parser->body_limit(max_answer);
        beast::http::async_read(*m_socket, m_buffer, *m_parser,
                                [self = shared_from_this()](const beast::error_code& error, std::size_t) {
                                    self->on_read(error);
                                });
    }

    void on_read(const beast::error_code& error) {
        if (m_is_finished) {
            return;
        }
        if (error) {
            on_broken();
            return;
        }
        auto message = m_parser->release();
        http_response response;
        response.status = static_cast<int>(message.result_int());
        for (const auto& field : message) {
            response.headers.add(std::string(field.name_string()), std::string(field.value()));
        }
        response.body = std::move(message.body());
        if (message.keep_alive()) {
            m_parts->give_idle(m_call.address, std::move(m_socket));
        }
        finish(std::move(response));
    }

    void on_broken() {
        const bool is_untouched = !m_parser.has_value() || !m_parser->got_some();
        if (m_is_reused && is_untouched) {
            m_is_reused = false;
            m_parser.reset();
            m_buffer.clear();
            connect();
            return;
        }
        finish(make_error_code(net_errc::broken));
    }

    void on_timeout() {
        const bool was_sent = m_is_sent;
        m_parts->idle.erase(m_call.address);
        finish(make_error_code(was_sent ? net_errc::timed_out : net_errc::unreachable));
    }

    void finish(result<http_response> answer) {
        if (m_is_finished) {
            return;
        }
        m_is_finished = true;
        m_parts->loop.cancel(m_timer);
        m_parts->loop.cancel(m_connect_timer);
        if (m_socket != nullptr) {
            boost::system::error_code ignored; // it goes either way
            m_socket->close(ignored);
        }
        m_parts->open.erase(shared_from_this());
        if (m_on_answer) {
            m_parts->loop.post([work = std::move(m_on_answer), answer = std::move(answer)]() mutable {
                work(std::move(answer));
            });
            m_on_answer = nullptr;
        }
    }

    std::shared_ptr<parts> m_parts;
    http_call m_call;
    answer_handler m_on_answer;
    std::unique_ptr<asio::ip::tcp::socket> m_socket;
    beast::flat_buffer m_buffer;
    beast::http::request<beast::http::string_body> m_request;
    std::optional<beast::http::response_parser<beast::http::string_body>> m_parser;
    timer_id m_timer = 0;
    timer_id m_connect_timer = 0;
    bool m_is_reused = false;
    bool m_is_sent = false;
    bool m_is_finished = false;
};

http_caller::http_caller(event_loop& loop, const http_caller_settings& settings)
    : m_parts(std::make_shared<parts>(loop, settings)) {}

http_caller::~http_caller() {
    const auto open = m_parts->open;
    for (const auto& item : open) {
        item->abandon();
    }
    m_parts->idle.clear();
}

void http_caller::send(http_call call, answer_handler on_answer) {
    auto item = std::make_shared<exchange>(m_parts, std::move(call), std::move(on_answer));
    m_parts->open.insert(item);
    item->start();
}

std::size_t http_caller::get_opened() const {
    return m_parts->opened;
}

} // namespace poplarpitch
