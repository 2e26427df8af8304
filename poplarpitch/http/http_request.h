#pragma once

#include "poplarpitch/http/header_list.h"

#include <string>

namespace poplarpitch {

/// A complete HTTP request.
struct http_request {
    std::string method; ///< GET, POST, PUT or DELETE
    std::string target; ///< path and query as sent, without percent-decoding
    header_list headers;
    std::string body;

    friend bool operator==(const http_request&, const http_request&) = default;

    /// Returns the target without its query. Thread safety: any thread.
    [[nodiscard]] std::string get_path() const { return target.substr(0, target.find('?')); }
    /// Returns the value of `key` in the query without percent-decoding, or an empty string when it is
    /// absent. Thread safety: any thread.
    [[nodiscard]] std::string get_query(const std::string& key) const;
};

} // namespace poplarpitch
