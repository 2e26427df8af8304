#include "poplarpitch/net/http_limits_settings.h"

#include "poplarpitch/config/section_reader.h"

#include <cstdint>
#include <string>

namespace poplarpitch {
namespace {

constexpr std::int64_t min_bytes = 1024;
constexpr std::int64_t max_bytes = 1LL << 30;

std::size_t read_bytes(section_reader& reader, const std::string& key, std::size_t fallback) {
    const auto bytes = reader.get_bytes(key, static_cast<std::int64_t>(fallback));
    if (bytes < min_bytes || bytes > max_bytes) {
        reader.add_error(key, key + " must be from 1KB to 1GB");
        return fallback;
    }
    return static_cast<std::size_t>(bytes);
}

} // namespace

http_limits read_http_limits(section_reader& reader, const http_limits& fallback) {
    http_limits limits;
    limits.max_header = read_bytes(reader, "max_header", fallback.max_header);
    limits.max_body = read_bytes(reader, "max_body", fallback.max_body);
    limits.idle_timeout = reader.get_duration("idle_timeout", fallback.idle_timeout);
    limits.header_timeout = reader.get_duration("header_timeout", fallback.header_timeout);
    limits.body_timeout = reader.get_duration("body_timeout", fallback.body_timeout);
    limits.write_timeout = reader.get_duration("write_timeout", fallback.write_timeout);
    return limits;
}

} // namespace poplarpitch
