#include "poplarpitch/core/text_file.h"

#include <array>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <utility>

namespace poplarpitch {
namespace {

constexpr std::size_t read_size = 1U << 16;

/// Returns the rest of a stream, or nothing when a read fails.
std::optional<std::string> read_all(std::istream& source) {
    std::string text;
    std::array<char, read_size> buffer{};
    while (source.good()) {
        source.read(buffer.data(), buffer.size());
        text.append(buffer.data(), static_cast<std::size_t>(source.gcount()));
    }
    return source.bad() ? std::nullopt : std::make_optional(std::move(text));
}

} // namespace

std::optional<std::string> read_text_file(const std::string& name) {
    if (name == "-") {
        auto text = read_all(std::cin);
        return std::ferror(stdin) == 0 ? std::move(text) : std::nullopt; // to `std::cin` an error is an end
    }
    std::ifstream file(name, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    return read_all(file);
}

} // namespace poplarpitch
