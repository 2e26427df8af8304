#pragma once

#include <system_error>

namespace poplarpitch {

/// Why a call to a peer or to the control instances failed.
enum class transport_errc {
    unreachable = 1, ///< no connection could be made; nothing was sent
    timed_out,       ///< no answer in time; the outcome of the request is unknown
    no_leader,       ///< no control instance is the leader at present
    refused,         ///< the peer refused the request; the answer has the reason
    too_large,       ///< the answer is larger than allowed
    bad_answer,      ///< the answer cannot be parsed or is not for this request
    listen_failed,   ///< the server cannot listen on the address
};

/// Returns the error category of transport. Thread safety: any thread.
[[nodiscard]] const std::error_category& get_transport_category() noexcept;

/// Makes a `std::error_code`. Thread safety: any thread.
[[nodiscard]] std::error_code make_error_code(transport_errc code) noexcept;

} // namespace poplarpitch

template <>
struct std::is_error_code_enum<poplarpitch::transport_errc> : std::true_type {};
