// Arbitrary bytes at the sockets at which other processes are heard: HTTP and frames. Whatever arrives, and
// in whatever pieces, nothing is handled that was not sent whole, and nothing is held for a connection that
// has ended. RC_PARAMS="max_success=100000" runs it for long.
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/http_listener.h"
#include "poplarpitch/net/memory_budget.h"
#include "poplarpitch/replica/link_acceptor.h"
#include "poplarpitch/wire/scheduling.pb.h"
#include "unit_tests/net/raw_client.h"
#include "unit_tests/support/port_reservation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace poplarpitch {
namespace {

constexpr std::size_t memory_limit = 1U << 20;
constexpr std::size_t max_unknown = 16;
const std::string request_body = "0123456789";
const std::vector<std::string> requests = {
    "GET /jobs/1 HTTP/1.1\r\nHost: a\r\n\r\n",
    "POST /jobs/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n" + request_body,
    "POST /jobs/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
    "chunked\r\n\r\n4;x=y\r\n0123\r\n6\r\n456789\r\n0\r\nT: t\r\n\r\n"};

/// Changes, removes, repeats or adds some bytes.
std::string mutate(std::string bytes) {
    const int changes = *rc::gen::inRange(0, 4);
    for (int change = 0; change < changes && !bytes.empty(); ++change) {
        const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
        const auto length = *rc::gen::inRange<std::size_t>(0, bytes.size() - position + 1);
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            bytes[position] = static_cast<char>(*rc::gen::inRange(0, 0x100));
            break;
        case 1:
            bytes.erase(position, length);
            break;
        case 2:
            bytes.insert(position, bytes.substr(position, length));
            break;
        default:
            bytes.insert(position, std::string(*rc::gen::inRange<std::size_t>(0, 3000), 'x'));
        }
    }
    return bytes;
}

/// Sends bytes in pieces to a loopback port while `loop` runs, then closes the connection. Returns once
/// `has_ended` returns true on the loop, or after a time that a passing test never needs.
void send_in_pieces(event_loop& loop, int port, const std::vector<std::string>& pieces,
                    const std::function<bool()>& has_ended) {
    std::thread client([&] {
        const int socket = open_connection(port);
        for (const auto& piece : pieces) {
            ::send(socket, piece.data(), piece.size(), MSG_NOSIGNAL);
        }
        ::shutdown(socket, SHUT_WR);
        static_cast<void>(read_status(socket));
        ::close(socket);
        loop.post([&] {
            std::function<void()> look = [&loop, &has_ended, &look] {
                if (has_ended()) {
                    loop.stop();
                } else {
                    loop.call_after(milliseconds{1}, look);
                }
            };
            loop.call_after(seconds{20}, [&loop] { loop.stop(); });
            look();
        });
    });
    loop.run();
    client.join();
}

std::vector<std::string> split(const std::string& bytes) {
    std::vector<std::string> pieces;
    for (std::size_t offset = 0; offset < bytes.size();) {
        pieces.push_back(bytes.substr(offset, *rc::gen::inRange<std::size_t>(1, bytes.size() + 1)));
        offset += pieces.back().size();
    }
    return pieces;
}

RC_GTEST_PROP(byte_fuzz, handles_only_whole_requests_and_holds_nothing_for_ended_connections, ()) {
    event_loop loop;
    memory_budget budget(memory_limit);
    std::vector<http_request> handled;
    http_listener listener(loop, budget, http_listener_settings{},
                           [&](const http_request& request, const http_responder& respond) {
                               handled.push_back(request);
                               respond({});
                           });
    const int port = listener.start().value();
    const auto valid = requests[*rc::gen::inRange<std::size_t>(0, requests.size())];
    const auto bytes = mutate(valid);
    send_in_pieces(loop, port, split(bytes), [&] { return listener.get_connections() == 0; });
    RC_ASSERT(listener.get_connections() == 0U);
    RC_ASSERT(listener.get_open_requests() == 0U);
    RC_ASSERT(budget.get_held() == 0U);
    if (bytes == valid) {
        RC_ASSERT(handled.size() == 1U);
        RC_ASSERT(handled[0].body == (valid == requests[0] ? "" : request_body));
    }
    for (const auto& request : handled) {
        RC_ASSERT(request.body.size() <= bytes.size());
        RC_ASSERT(bytes.find(request.target) != std::string::npos);
    }
}

RC_GTEST_PROP(byte_fuzz, holds_nothing_for_ended_connections_to_the_link_port, ()) {
    event_loop loop;
    memory_budget budget(memory_limit);
    const port_reservation port;
    job_wire::cluster_frame frame;
    frame.mutable_request()->set_body(request_body);
    const auto payload = frame.SerializeAsString();
    std::size_t handled = 0;
    link_acceptor acceptor(
        loop, budget, max_unknown, [](std::uint32_t /*ip*/) { return false; },
        [&](const std::shared_ptr<frame_socket>& /*socket*/, const job_wire::cluster_frame& /*frame*/) {
            ++handled;
        });
    RC_ASSERT(acceptor.start("127.0.0.1", port.get_port()));
    const auto valid = std::string{static_cast<char>(payload.size()), '\0', '\0', '\0'} + payload;
    const auto bytes = mutate(valid + valid);
    send_in_pieces(loop, port.get_port(), split(bytes), [&] { return acceptor.count() == 0; });
    RC_ASSERT(acceptor.count() == 0U);
    RC_ASSERT(budget.get_held() == 0U);
    RC_ASSERT(bytes != valid + valid || handled == 2U);
}

} // namespace
} // namespace poplarpitch
