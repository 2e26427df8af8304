#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/http/http_response.h"

#include <system_error>

namespace poplarpitch {

/// How far a request got, which says whether the peer may have processed it.
enum class exchange_progress : std::uint8_t {
    not_sent,   ///< nothing was sent: the peer certainly did not process it
    maybe_sent, ///< the peer may have processed it
    answered,   ///< the answer was received completely
};

/// The outcome of a request to a peer.
struct http_exchange {
    exchange_progress progress = exchange_progress::not_sent;
    std::error_code error; ///< a `transport_errc`, when not answered
    http_response response;

    friend bool operator==(const http_exchange&, const http_exchange&) = default;
};

} // namespace poplarpitch
