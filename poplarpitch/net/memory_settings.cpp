#include "poplarpitch/net/memory_settings.h"

#include "poplarpitch/config/section_reader.h"

#include <cstdint>
#include <string>

namespace poplarpitch {
namespace {

constexpr std::int64_t min_memory_mb = 32;
constexpr std::int64_t max_memory_mb = 1 << 20;
constexpr unsigned mb_bits = 20;
constexpr const char* unfilled_placeholder =
    "{{"; // of a template, where a deployment does not tell its memory

} // namespace

std::size_t read_memory_limit(section_reader& reader, std::size_t fallback) {
    const auto text = reader.get_text("memory_mb", "");
    if (text.empty() || text.starts_with(unfilled_placeholder)) {
        return fallback;
    }
    const auto megabytes = reader.get_integer("memory_mb", static_cast<std::int64_t>(fallback >> mb_bits),
                                              min_memory_mb, max_memory_mb);
    return static_cast<std::size_t>(megabytes) << mb_bits;
}

} // namespace poplarpitch
