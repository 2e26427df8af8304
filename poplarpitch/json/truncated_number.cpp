#include "poplarpitch/json/truncated_number.h"

namespace poplarpitch {
namespace {

constexpr double integer_limit = 9'223'372'036'854'775'808.0; // 2^63, the first one beyond the range

} // namespace

std::optional<std::int64_t> truncate_to_integer(double number) {
    const bool is_in_range = number >= -integer_limit && number < integer_limit;
    return is_in_range ? std::optional(static_cast<std::int64_t>(number)) : std::nullopt;
}

} // namespace poplarpitch
