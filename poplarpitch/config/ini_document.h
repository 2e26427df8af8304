#pragma once

#include "poplarpitch/config/config_error.h"

#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {

/// One `key = value` line.
struct ini_entry {
    std::string key;
    std::string value;
    int line = 0;

    friend auto operator<=>(const ini_entry&, const ini_entry&) = default;
};

/// One `[kind name]` section with its entries.
struct ini_section {
    std::string kind; ///< first word of the header
    std::string name; ///< rest of the header; empty for sections without a name
    int line = 0;
    std::vector<ini_entry> entries;

    friend auto operator<=>(const ini_section&, const ini_section&) = default;
};

/// A parsed INI text with line numbers. It is parsed with libinih, whose line callback makes the line of each
/// value known. Boost.PropertyTree loses the lines of values, and SimpleIni does not link header-only here.
struct ini_document {
    std::vector<ini_section> sections;
    std::vector<config_error> errors; ///< syntax errors, duplicate sections and duplicate keys

    friend auto operator<=>(const ini_document&, const ini_document&) = default;
};

/// Parses `text` and collects all errors in `errors`. Thread safety: any thread.
[[nodiscard]] ini_document parse_ini(std::string_view text);

} // namespace poplarpitch
