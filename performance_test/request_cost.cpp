// Measures the processor time of an HTTP listener for an ordinary request: a job of about 1 KB on an open
// connection, and the same on a new connection each time.
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/http_listener.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <cstring>
#include <string>
#include <thread>

namespace {

using namespace poplarpitch;

constexpr int warm_up_requests = 2000;
constexpr int measured_requests = 50'000;

/// Returns the processor time that the calling thread has used, in microseconds.
double get_thread_us() {
    rusage usage{};
    ::getrusage(RUSAGE_THREAD, &usage);
    const auto to_us = [](const timeval& time) {
        return 1e6 * static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec);
    };
    return to_us(usage.ru_utime) + to_us(usage.ru_stime);
}

int open_connection(int port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(static_cast<std::uint16_t>(port));
    peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    sockaddr generic{};
    std::memcpy(&generic, &peer, sizeof generic);
    if (::connect(socket, &generic, sizeof generic) != 0) {
        std::perror("connect");
    }
    return socket;
}

void exchange(int socket, const std::string& request) {
    std::array<char, 4096> answer{};
    if (::send(socket, request.data(), request.size(), MSG_NOSIGNAL) < 0 ||
        ::recv(socket, answer.data(), answer.size(), 0) <= 0) {
        std::perror("exchange");
    }
}

void send_requests(int port, const std::string& request, int count, bool keeps_connection) {
    int socket = keeps_connection ? open_connection(port) : -1;
    for (int number = 0; number < count; ++number) {
        if (!keeps_connection) {
            socket = open_connection(port);
        }
        exchange(socket, request);
        if (!keeps_connection) {
            ::close(socket);
        }
    }
    if (keeps_connection) {
        ::close(socket);
    }
}

/// Returns the listener's processor time for one request, in microseconds.
double measure(bool keeps_connection) {
    event_loop loop;
    http_listener listener(
        loop, http_listener_settings{},
        [](const http_request& /*request*/, const http_responder& respond) { respond({}); });
    const int port = listener.start().value();
    const std::string body(900, 'x');
    const auto request = "POST /jobs/0000000000000001 HTTP/1.1\r\nHost: mill.example\r\nContent-Type: "
                         "application/json\r\nDeadline-Ms: 3000\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body;
    double used = 0;
    std::thread client([&] {
        send_requests(port, request, warm_up_requests, keeps_connection);
        loop.post([&] { used -= get_thread_us(); });
        send_requests(port, request, measured_requests, keeps_connection);
        loop.post([&] {
            used += get_thread_us();
            loop.stop();
        });
    });
    loop.run();
    client.join();
    return used / measured_requests;
}

} // namespace

int main() {
    std::printf("open connection: %.2f us a request\n", measure(true));
    std::printf("new connection: %.2f us a request\n", measure(false));
}
