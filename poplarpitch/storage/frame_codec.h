#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace poplarpitch {

/// A frame read from a file.
struct stored_frame {
    std::string_view payload; ///< empty when the frame is not valid
    std::uint64_t end = 0;    ///< offset after the frame
    bool is_valid = false;    ///< true when the frame is whole and its checksum matches

    friend bool operator==(const stored_frame&, const stored_frame&) = default;
};

/// Returns `payload` with a header of magic number, length and xxHash. Thread safety: any thread.
[[nodiscard]] std::string encode_frame(std::string_view payload);

/// Reads the frame at `offset` of `file`, which holds the file's bytes. Thread safety: any thread.
[[nodiscard]] stored_frame decode_frame(std::string_view file, std::uint64_t offset);

/// Returns true if a valid frame starts anywhere after `offset`. This distinguishes corruption in the middle
/// of a file from a torn end: only the last frame can be torn, because each frame is synced before the next
/// is written. Thread safety: any thread.
[[nodiscard]] bool has_frame_after(std::string_view file, std::uint64_t offset);

} // namespace poplarpitch
