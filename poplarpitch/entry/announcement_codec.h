#pragma once

#include "poplarpitch/entry/announcement.h"

#include <string>
#include <variant>

namespace poplarpitch {

/// Why a JSON text was refused.
struct codec_error {
    std::string message;

    friend auto operator<=>(const codec_error&, const codec_error&) = default;
};

/// Reads and checks a target's JSON: names, ranges and doubled ids. Thread safety: any thread.
[[nodiscard]] std::variant<announcement, codec_error> decode_announcement(const std::string& text);
/// Writes a target's JSON, as the stand-in sends it. Thread safety: any thread.
[[nodiscard]] std::string encode_announcement(const announcement& value);
/// Writes the answer's JSON. Thread safety: any thread.
[[nodiscard]] std::string encode_announce_answer(const announce_answer& answer);
/// Reads the answer's JSON. Thread safety: any thread.
[[nodiscard]] std::variant<announce_answer, codec_error> decode_announce_answer(const std::string& text);

} // namespace poplarpitch
