#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/http/http_response.h"

#include <system_error>

namespace poplarpitch {

/// How far a request got.
enum class exchange_progress : std::uint8_t {
    not_sent,   ///< no byte left this process: it surely did not run
    maybe_sent, ///< it may have run
    answered,   ///< the answer is whole
};

/// What became of a request to a peer.
struct http_exchange {
    exchange_progress progress = exchange_progress::not_sent;
    std::error_code error; ///< of transport, when not answered
    http_response response;

    friend bool operator==(const http_exchange&, const http_exchange&) = default;
};

} // namespace poplarpitch
