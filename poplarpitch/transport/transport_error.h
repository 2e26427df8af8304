#pragma once

#include <system_error>

namespace poplarpitch {

/// Why a peer or the control instances could not be asked.
enum class transport_errc {
    unreachable = 1, ///< no connection could be made; nothing was sent
    timed_out,       ///< no answer in time; what became of the message is not known
    no_leader,       ///< no control instance leads at present
    refused,         ///< the other side refused; its words are in the answer
    too_large,       ///< the answer is larger than allowed
    bad_answer,      ///< the answer cannot be read or is not for this request
    listen_failed,   ///< the address cannot be listened on
};

/// Returns the error category of transport. Thread safety: any thread.
[[nodiscard]] const std::error_category& get_transport_category() noexcept;

/// Makes a `std::error_code`. Thread safety: any thread.
[[nodiscard]] std::error_code make_error_code(transport_errc code) noexcept;

} // namespace poplarpitch

template <>
struct std::is_error_code_enum<poplarpitch::transport_errc> : std::true_type {};
