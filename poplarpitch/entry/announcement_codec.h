#pragma once

#include "poplarpitch/entry/announcement.h"

#include <string>
#include <variant>

namespace poplarpitch {

/// The reason why a JSON text was rejected.
struct codec_error {
    std::string message;

    friend auto operator<=>(const codec_error&, const codec_error&) = default;
};

/// Parses a target's JSON and validates names, value ranges and duplicate ids. Thread safety: any thread.
[[nodiscard]] std::variant<announcement, codec_error> decode_announcement(const std::string& text);
/// Encodes an announcement as JSON, as the stand-in target sends it. Thread safety: any thread.
[[nodiscard]] std::string encode_announcement(const announcement& value);
/// Encodes the answer to an announcement as JSON. Thread safety: any thread.
[[nodiscard]] std::string encode_announce_answer(const announce_answer& answer);
/// Parses the answer to an announcement from JSON. Thread safety: any thread.
[[nodiscard]] std::variant<announce_answer, codec_error> decode_announce_answer(const std::string& text);

} // namespace poplarpitch
