#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace poplarpitch {

/// A frame read out of a log file.
struct stored_frame {
    std::string_view payload; ///< empty when there is none
    std::uint64_t end = 0;    ///< offset behind it
    bool is_valid = false;

    friend bool operator==(const stored_frame&, const stored_frame&) = default;
};

/// Puts magic number, length and xxHash in front of `payload`. Thread safety: any thread.
[[nodiscard]] std::string encode_frame(std::string_view payload);

/// Reads the frame at `offset` of `file`. Thread safety: any thread.
[[nodiscard]] stored_frame decode_frame(std::string_view file, std::uint64_t offset);

/// Returns true when a valid frame starts anywhere behind `offset`. It tells corruption in the middle of a
/// file from a torn end: only the last frame can be torn, because each is synced before the next is written.
/// Thread safety: any thread.
[[nodiscard]] bool has_frame_after(std::string_view file, std::uint64_t offset);

} // namespace poplarpitch
