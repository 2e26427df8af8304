#include "poplarpitch/config/section_reader.h"

#include "poplarpitch/core/text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <array>
#include <cmath>
#include <optional>

namespace poplarpitch {
namespace {

/// The name of a unit and its size in the base unit.
struct unit {
    std::string_view name;
    double size;
};

constexpr std::array duration_units = {unit{"us", 1e3}, unit{"ms", 1e6}, unit{"s", 1e9}, unit{"m", 60e9},
                                       unit{"h", 3600e9}};
constexpr std::array byte_units = {unit{"B", 1}, unit{"KB", 1024.0}, unit{"MB", 1024.0 * 1024},
                                   unit{"GB", 1024.0 * 1024 * 1024}, unit{"TB", 1024.0 * 1024 * 1024 * 1024}};
constexpr double max_amount = 9e18; // largest amount that fits into 64 bits

/// Parses a number followed by a unit. Returns nothing when `text` has another form.
template <std::size_t Count>
std::optional<double> read_with_unit(std::string_view text, const std::array<unit, Count>& units) {
    const auto digits = text.find_first_not_of("0123456789.");
    if (digits == 0 || digits == std::string_view::npos) {
        return std::nullopt;
    }
    double amount = 0;
    if (!absl::SimpleAtod(to_absl(text.substr(0, digits)), &amount)) {
        return std::nullopt;
    }
    const auto name = strip(text.substr(digits));
    for (const auto& candidate : units) {
        if (candidate.name == name && amount * candidate.size < max_amount) {
            return amount * candidate.size;
        }
    }
    return std::nullopt;
}

} // namespace

section_reader::section_reader(const ini_section& section, std::vector<config_error>& errors)
    : m_section(section), m_errors(errors) {}

const ini_entry* section_reader::find(const std::string& key) {
    m_requested.insert(key);
    for (const auto& entry : m_section.entries) {
        if (entry.key == key) {
            return &entry;
        }
    }
    return nullptr;
}

std::string section_reader::get_text(const std::string& key, const std::string& fallback) {
    const auto* entry = find(key);
    return entry == nullptr ? fallback : entry->value;
}

std::string section_reader::get_utf8_text(const std::string& key, const std::string& fallback) {
    auto text = get_text(key, fallback);
    if (!is_utf8(text)) {
        add_error(key, key + " must be UTF-8");
    }
    return text;
}

std::int64_t section_reader::get_integer(const std::string& key, std::int64_t fallback, std::int64_t low,
                                         std::int64_t high) {
    const auto* entry = find(key);
    if (entry == nullptr) {
        return fallback;
    }
    std::int64_t value = 0;
    if (!absl::SimpleAtoi(entry->value, &value) || value < low || value > high) {
        add_error(key, absl::StrCat("'", entry->value, "' is no whole number from ", low, " to ", high));
        return fallback;
    }
    return value;
}

double section_reader::get_number(const std::string& key, double fallback, double low, double high) {
    const auto* entry = find(key);
    if (entry == nullptr) {
        return fallback;
    }
    double value = 0;
    if (!absl::SimpleAtod(entry->value, &value) || !std::isfinite(value) || value < low || value > high) {
        add_error(key, absl::StrCat("'", entry->value, "' is no number from ", low, " to ", high));
        return fallback;
    }
    return value;
}

bool section_reader::get_flag(const std::string& key, bool fallback) {
    const auto* entry = find(key);
    if (entry == nullptr) {
        return fallback;
    }
    if (entry->value != "true" && entry->value != "false") {
        add_error(key, absl::StrCat("'", entry->value, "' is neither true nor false"));
        return fallback;
    }
    return entry->value == "true";
}

duration section_reader::get_duration(const std::string& key, duration fallback) {
    const auto* entry = find(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto value = read_with_unit(entry->value, duration_units);
    if (!value.has_value() || *value < 1) {
        add_error(key, absl::StrCat("'", entry->value, "' is no length of time such as 250ms, 2s or 10m"));
        return fallback;
    }
    return duration{static_cast<std::int64_t>(*value)};
}

std::int64_t section_reader::get_bytes(const std::string& key, std::int64_t fallback) {
    const auto* entry = find(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto value = read_with_unit(entry->value, byte_units);
    if (!value.has_value()) {
        add_error(key, absl::StrCat("'", entry->value, "' is no amount of bytes such as 512MB or 4GB"));
        return fallback;
    }
    return static_cast<std::int64_t>(*value);
}

std::vector<std::string> section_reader::get_list(const std::string& key) {
    std::vector<std::string> items;
    const auto* entry = find(key);
    if (entry == nullptr) {
        return items;
    }
    for (const auto part : absl::StrSplit(entry->value, ',')) {
        const auto item = strip(from_absl(part));
        if (!item.empty()) {
            items.emplace_back(item);
        }
    }
    return items;
}

std::vector<std::string> section_reader::find_keys(std::string_view prefix) const {
    std::vector<std::string> keys;
    for (const auto& entry : m_section.entries) {
        if (entry.key.compare(0, prefix.size(), prefix) == 0) {
            keys.push_back(entry.key);
        }
    }
    return keys;
}

int section_reader::get_line(const std::string& key) const {
    for (const auto& entry : m_section.entries) {
        if (entry.key == key) {
            return entry.line;
        }
    }
    return m_section.line;
}

void section_reader::add_error(const std::string& key, const std::string& message) {
    m_errors.push_back({get_line(key), absl::StrCat(key, ": ", message)});
}

void section_reader::finish() {
    for (const auto& entry : m_section.entries) {
        if (!m_requested.contains(entry.key)) {
            m_errors.push_back(
                {entry.line, absl::StrCat("unknown key '", entry.key, "' in [", m_section.kind,
                                          m_section.name.empty() ? "" : " ", m_section.name, "]")});
        }
    }
}

} // namespace poplarpitch
