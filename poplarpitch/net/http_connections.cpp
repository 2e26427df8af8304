#include "poplarpitch/net/http_connections.h"

#include "poplarpitch/net/http_exchange.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr std::size_t idle_closed_when_exhausted = 16; // frees descriptors for the listener and the log

} // namespace

bool http_connections::peer::has_waiting() const {
    return std::any_of(waiting.begin(), waiting.end(),
                       [](const wait_queue& queue) { return !queue.empty(); });
}

bool http_connections::peer::is_empty() const {
    return idle.empty() && short_calls == 0 && long_calls == 0 && !has_waiting() &&
           waiting_long_calls.empty();
}

http_connections::http_connections(event_loop& loop, memory_budget& budget,
                                   const http_caller_settings& settings)
    : m_loop(loop), m_budget(budget), m_settings(settings) {}

void http_connections::request(const std::shared_ptr<http_exchange>& exchange) {
    if (m_waiting >= m_settings.max_waiting) {
        ++m_not_sent;
        exchange->reject();
        return;
    }
    m_exchanges.insert(exchange);
    ++m_waiting;
    auto& item = m_peers[exchange->get_address()];
    auto& queue = exchange->is_long_poll() ? item.waiting_long_calls
                                           : item.waiting[static_cast<std::size_t>(exchange->get_priority())];
    queue.push_back(exchange);
    serve(exchange->get_address());
}

bool http_connections::may_begin_short_call(const peer& item) const {
    if (item.short_calls == 0) {
        return true;
    }
    return item.short_calls < m_settings.max_short_calls_per_address &&
           m_loop.now() - item.last_short_call_at >= m_settings.second_connection_delay;
}

http_connections::wait_queue* http_connections::find_ready_queue(peer& item) {
    const auto drop_late = [](wait_queue& queue) { // the timeout timer of a late call ends it
        while (!queue.empty() && (queue.front()->is_finished() || !queue.front()->has_time_left())) {
            queue.pop_front();
        }
        return !queue.empty();
    };
    if (drop_late(item.waiting_long_calls) && item.long_calls == 0) {
        return &item.waiting_long_calls;
    }
    for (auto queue = item.waiting.rbegin(); queue != item.waiting.rend(); ++queue) {
        if (drop_late(*queue)) {
            return may_begin_short_call(item) ? &*queue : nullptr;
        }
    }
    return nullptr;
}

void http_connections::serve(const std::string& address) {
    const auto found = m_peers.find(address);
    if (found == m_peers.end()) {
        return;
    }
    auto& item = found->second;
    while (auto* queue = find_ready_queue(item)) {
        if (!begin_first(address, item, *queue)) {
            return;
        }
    }
    arm_second_connection_timer(address, item);
    erase_if_empty(address);
}

bool http_connections::begin_first(const std::string& address, peer& item, wait_queue& queue) {
    const auto exchange = queue.front();
    auto socket = exchange->uses_new_connection() ? nullptr : take_idle(item, *exchange);
    if (socket == nullptr && exchange->get_connection_opened_before().has_value()) {
        queue.pop_front();
        --m_waiting;
        m_exchanges.erase(exchange);
        exchange->reject();
        return true;
    }
    if (socket == nullptr) {
        if (!make_room()) {
            add_starved(address, item, exchange->get_priority());
            return false;
        }
        ++m_connections;
    }
    queue.pop_front();
    --m_waiting;
    if (exchange->is_long_poll()) {
        ++item.long_calls;
    } else {
        ++item.short_calls;
        item.last_short_call_at = m_loop.now();
    }
    exchange->begin(std::move(socket));
    return true;
}

http_connections::socket_ptr http_connections::take_idle(peer& item, http_exchange& exchange) {
    const auto may_use = [&exchange](const idle_list::iterator& connection) {
        const auto before = exchange.get_connection_opened_before();
        return !before.has_value() || connection->opened_at < *before;
    };
    while (true) {
        const auto newest = std::find_if(item.idle.rbegin(), item.idle.rend(), may_use);
        if (newest == item.idle.rend()) {
            return nullptr;
        }
        const auto connection = *newest;
        item.idle.erase(std::next(newest).base());
        exchange.set_opened_at(connection->opened_at);
        auto socket = std::move(connection->socket);
        const bool is_usable = m_loop.now() - connection->idle_since < m_settings.max_idle;
        m_idle.erase(connection);
        if (is_usable) {
            return socket;
        }
        --m_connections;
    }
}

bool http_connections::make_room() {
    if (m_loop.now() < m_exhausted_until) {
        return false;
    }
    if (m_connections >= m_settings.max_connections && !m_idle.empty()) {
        close_oldest_idle();
    }
    return m_connections < m_settings.max_connections;
}

void http_connections::close_oldest_idle() {
    const auto connection = m_idle.begin();
    const auto address = connection->address;
    std::erase(m_peers[address].idle, connection);
    m_idle.erase(connection);
    --m_connections;
    erase_if_empty(address);
}

/// Connections to workers that no longer exist are never reused, so they have to expire.
void http_connections::close_expired_idle() {
    while (!m_idle.empty() && m_loop.now() - m_idle.front().idle_since >= m_settings.max_idle) {
        close_oldest_idle();
    }
}

void http_connections::release(http_exchange& exchange, socket_ptr socket) {
    const auto& address = exchange.get_address();
    auto& item = m_peers[address];
    auto& calls = exchange.is_long_poll() ? item.long_calls : item.short_calls;
    --calls;
    if (socket != nullptr && item.idle.size() < m_settings.max_idle_per_address) {
        m_idle.push_back({address, std::move(socket), m_loop.now(), exchange.get_opened_at()});
        item.idle.push_back(std::prev(m_idle.end()));
    } else {
        socket.reset();
        --m_connections;
    }
    close_expired_idle();
    serve(address);
    serve_starved();
}

void http_connections::on_wait_ended(bool was_not_sent) {
    --m_waiting;
    m_not_sent += was_not_sent ? 1 : 0;
}

void http_connections::on_exhausted(const std::shared_ptr<http_exchange>& exchange) {
    ++m_exhausted;
    m_exhausted_until = m_loop.now() + m_settings.exhausted_pause;
    for (std::size_t closed = 0; closed < idle_closed_when_exhausted && !m_idle.empty(); ++closed) {
        close_oldest_idle();
    }
    const auto& address = exchange->get_address();
    auto& item = m_peers[address];
    --m_connections;
    ++m_waiting;
    if (exchange->is_long_poll()) {
        --item.long_calls;
        item.waiting_long_calls.push_front(exchange);
    } else {
        --item.short_calls;
        item.waiting[static_cast<std::size_t>(exchange->get_priority())].push_front(exchange);
    }
    add_starved(address, item, exchange->get_priority());
    m_loop.call_after(m_settings.exhausted_pause, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->serve_starved();
        }
    });
}

void http_connections::drop_idle(const std::string& address) {
    const auto found = m_peers.find(address);
    if (found == m_peers.end()) {
        return;
    }
    for (const auto connection : found->second.idle) {
        m_idle.erase(connection);
        --m_connections;
    }
    found->second.idle.clear();
    erase_if_empty(address);
}

// ---- calls that found no free connection

void http_connections::add_starved(const std::string& address, peer& item, call_priority priority) {
    const auto level = static_cast<std::size_t>(priority);
    if (!item.starved[level]) {
        item.starved[level] = true;
        m_starved[level].push_back(address);
    }
}

void http_connections::serve_starved() {
    for (std::size_t left = call_priority_count; left > 0; --left) {
        auto& queue = m_starved[left - 1];
        auto rounds = queue.size(); // an address that gets no connection is appended again
        while (rounds > 0 && make_room()) {
            --rounds;
            const auto address = std::move(queue.front());
            queue.pop_front();
            if (const auto found = m_peers.find(address); found != m_peers.end()) {
                found->second.starved[left - 1] = false;
                serve(address);
            }
        }
    }
}

void http_connections::arm_second_connection_timer(const std::string& address, peer& item) {
    const bool may_come = item.short_calls > 0 && item.short_calls < m_settings.max_short_calls_per_address;
    if (!item.has_waiting() || !may_come || item.second_connection_timer != 0) {
        return;
    }
    item.second_connection_timer = m_loop.call_at(
        item.last_short_call_at + m_settings.second_connection_delay, [weak = weak_from_this(), address] {
            const auto self = weak.lock();
            if (self == nullptr) {
                return;
            }
            if (const auto found = self->m_peers.find(address); found != self->m_peers.end()) {
                found->second.second_connection_timer = 0;
                self->serve(address);
            }
        });
}

void http_connections::erase_if_empty(const std::string& address) {
    const auto found = m_peers.find(address);
    if (found != m_peers.end() && found->second.is_empty()) {
        m_peers.erase(found);
    }
}

void http_connections::abandon_all() {
    const auto exchanges = std::exchange(m_exchanges, {});
    for (const auto& exchange : exchanges) {
        exchange->abandon();
    }
    m_peers.clear();
    m_idle.clear();
}

http_caller_stats http_connections::get_stats() const {
    return {m_connections, m_idle.size(), m_waiting, m_opened, m_not_sent, m_exhausted};
}

} // namespace poplarpitch
