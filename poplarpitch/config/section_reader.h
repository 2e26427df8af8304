#pragma once

#include "poplarpitch/config/ini_document.h"
#include "poplarpitch/core/time.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace poplarpitch {

/// Reads typed values out of one section and collects every mistake with its line. A key that nobody asked
/// for is an error, so a misspelt key never silently means its default.
class section_reader {
public:
    /// Precondition: `section` and `errors` outlive the reader. Thread safety: none, as for all methods.
    section_reader(const ini_section& section, std::vector<config_error>& errors);

    /// Returns the text of `key`, or `fallback` when it is absent.
    std::string get_text(const std::string& key, const std::string& fallback);
    /// Returns a whole number of `key` in [low, high], or `fallback`.
    std::int64_t get_integer(const std::string& key, std::int64_t fallback, std::int64_t low,
                             std::int64_t high);
    /// Returns a decimal number of `key` in [low, high], or `fallback`.
    double get_number(const std::string& key, double fallback, double low, double high);
    /// Returns `true` or `false`, or `fallback`.
    bool get_flag(const std::string& key, bool fallback);
    /// Returns a length of time (units us, ms, s, m, h) that is positive, or `fallback`.
    duration get_duration(const std::string& key, duration fallback);
    /// Returns an amount of bytes (units B, KB, MB, GB, TB; powers of 1024), or `fallback`.
    std::int64_t get_bytes(const std::string& key, std::int64_t fallback);
    /// Returns the comma-separated words of `key`; empty when it is absent.
    std::vector<std::string> get_list(const std::string& key);

    /// Returns the line of `key`, or the section's own when it is absent.
    [[nodiscard]] int get_line(const std::string& key) const;
    /// Notes a mistake at the line of `key`.
    void add_error(const std::string& key, const std::string& message);
    /// Notes every key that no call asked for. Precondition: called last.
    void finish();

private:
    const ini_entry* find(const std::string& key);

    const ini_section& m_section;
    std::vector<config_error>& m_errors;
    std::set<std::string> m_requested; ///< keys that were asked for
};

} // namespace poplarpitch
