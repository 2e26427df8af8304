#include "poplarpitch/transport/connection_headers.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace poplarpitch {
namespace {

constexpr std::array<std::string_view, 15> connection_header_names = {
    "content-length",   "content-type", "transfer-encoding",
    "connection",       "keep-alive",   "te",
    "trailer",          "upgrade",      "expect",
    "proxy-connection", "remote_addr",  "remote_port",
    "local_addr",       "local_port",   "proxy-authorization",
};

bool equals_ignoring_case(std::string_view given, std::string_view lower) {
    return given.size() == lower.size() &&
           std::equal(given.begin(), given.end(), lower.begin(), [](char character, char expected) {
               return std::tolower(static_cast<unsigned char>(character)) == expected;
           });
}

} // namespace

bool is_connection_header(std::string_view name) {
    return std::any_of(connection_header_names.begin(), connection_header_names.end(),
                       [&](std::string_view known) { return equals_ignoring_case(name, known); });
}

} // namespace poplarpitch
