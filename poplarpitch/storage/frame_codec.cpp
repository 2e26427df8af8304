#include "poplarpitch/storage/frame_codec.h"

#include "poplarpitch/core/hash.h"

#include <cstring>

namespace poplarpitch {
namespace {

constexpr std::uint32_t magic = 0x70d5a31fU;
constexpr std::size_t header_size = sizeof(std::uint32_t) + sizeof(std::uint32_t) + sizeof(std::uint64_t);

/// Computes a checksum that includes the length, so that a damaged length is detected.
std::uint64_t make_checksum(std::string_view payload) {
    return hash_bytes(payload) ^ (payload.size() * 0x9e3779b97f4a7c15ULL);
}

} // namespace

std::string encode_frame(std::string_view payload) {
    const auto length = static_cast<std::uint32_t>(payload.size());
    const auto checksum = make_checksum(payload);
    std::string frame(header_size, '\0');
    std::memcpy(frame.data(), &magic, sizeof(magic));
    std::memcpy(frame.data() + sizeof(magic), &length, sizeof(length));
    std::memcpy(frame.data() + sizeof(magic) + sizeof(length), &checksum, sizeof(checksum));
    frame.append(payload);
    return frame;
}

stored_frame decode_frame(std::string_view file, std::uint64_t offset) {
    if (offset > file.size() || file.size() - offset < header_size) {
        return {};
    }
    std::uint32_t found_magic = 0;
    std::uint32_t length = 0;
    std::uint64_t checksum = 0;
    const char* header = file.data() + offset;
    std::memcpy(&found_magic, header, sizeof(found_magic));
    std::memcpy(&length, header + sizeof(found_magic), sizeof(length));
    std::memcpy(&checksum, header + sizeof(found_magic) + sizeof(length), sizeof(checksum));
    if (found_magic != magic || file.size() - offset - header_size < length) {
        return {};
    }
    const auto payload = file.substr(offset + header_size, length);
    if (make_checksum(payload) != checksum) {
        return {};
    }
    return {payload, offset + header_size + length, true};
}

bool has_frame_after(std::string_view file, std::uint64_t offset) {
    const std::string_view pattern(reinterpret_cast<const char*>(&magic), sizeof(magic));
    auto position = file.find(pattern, offset + 1);
    while (position != std::string_view::npos) {
        if (decode_frame(file, position).is_valid) {
            return true;
        }
        position = file.find(pattern, position + 1);
    }
    return false;
}

} // namespace poplarpitch
