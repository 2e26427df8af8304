#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace poplarpitch {

/// Binds `acceptor` to an IPv4 address and port and starts to listen. Returns false if any of these steps
/// fails. Thread safety: the loop's thread.
[[nodiscard]] inline bool start_listening(boost::asio::ip::tcp::acceptor& acceptor, const std::string& host,
                                          int port, int backlog) {
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(host, error);
    if (error) {
        return false;
    }
    const boost::asio::ip::tcp::endpoint endpoint(address, static_cast<std::uint16_t>(port));
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(backlog, error);
    }
    return !error;
}

} // namespace poplarpitch
