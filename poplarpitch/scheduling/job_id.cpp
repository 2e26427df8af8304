#include "poplarpitch/scheduling/job_id.h"

namespace poplarpitch {
namespace {

constexpr std::size_t digit_count = 16;
constexpr std::string_view digits = "0123456789abcdef";

} // namespace

std::string format_job_id(job_id id) {
    std::string text(digit_count, '0');
    for (std::size_t position = digit_count; position > 0; --position) {
        text[position - 1] = digits[id & 0xfU];
        id >>= 4U;
    }
    return text;
}

std::optional<job_id> parse_job_id(std::string_view text) {
    if (text.size() != digit_count) {
        return std::nullopt;
    }
    job_id id = 0;
    for (const char character : text) {
        const auto value = digits.find(character);
        if (value == std::string_view::npos) {
            return std::nullopt; // also for upper case, so that an id has one spelling
        }
        id = (id << 4U) | value;
    }
    return id;
}

} // namespace poplarpitch
