#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace poplarpitch {

/// Binds `acceptor` to an IPv4 address and port and starts to listen. `kernel_buffer`: bytes that the kernel
/// keeps of a connection in each direction, about; 0 for what the system chooses, up to some megabytes.
/// Returns false if any of these steps fails. Thread safety: the loop's thread.
[[nodiscard]] inline bool start_listening(boost::asio::ip::tcp::acceptor& acceptor, const std::string& host,
                                          int port, int backlog, int kernel_buffer = 0) {
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
    if (kernel_buffer > 0) {               // before listening, since connections inherit it with their window
        boost::system::error_code ignored; // connections then keep more
        acceptor.set_option(boost::asio::socket_base::receive_buffer_size(kernel_buffer), ignored);
        acceptor.set_option(boost::asio::socket_base::send_buffer_size(kernel_buffer), ignored);
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
