#include "poplarpitch/transport/connection_headers.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace poplarpitch {
namespace {

constexpr std::array<std::string_view, 15> names = {
    "content-length",   "content-type", "transfer-encoding",
    "connection",       "keep-alive",   "te",
    "trailer",          "upgrade",      "expect",
    "proxy-connection", "remote_addr",  "remote_port",
    "local_addr",       "local_port",   "proxy-authorization",
};

bool is_same(std::string_view given, std::string_view lower) {
    return given.size() == lower.size() &&
           std::equal(given.begin(), given.end(), lower.begin(), [](char letter, char expected) {
               return std::tolower(static_cast<unsigned char>(letter)) == expected;
           });
}

} // namespace

bool is_connection_header(std::string_view name) {
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view known) { return is_same(name, known); });
}

} // namespace poplarpitch
