#pragma once

#include "poplarpitch/config/ini_document.h"
#include "poplarpitch/core/time.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {

/// Reads typed values from one section and collects all errors with their lines. A key that was never read is
/// an error, so that a misspelt key is not silently replaced by its default.
class section_reader {
public:
    /// Precondition: `section` and `errors` outlive the reader. Thread safety: none, for all methods.
    section_reader(const ini_section& section, std::vector<config_error>& errors);

    /// Returns the text of `key`, or `fallback` when it is absent.
    std::string get_text(const std::string& key, const std::string& fallback);
    /// As `get_text`, for a text that is sent to other processes: reports one that is not UTF-8.
    std::string get_utf8_text(const std::string& key, const std::string& fallback);
    /// Returns the integer of `key`, or `fallback` when it is absent or not within [low, high].
    std::int64_t get_integer(const std::string& key, std::int64_t fallback, std::int64_t low,
                             std::int64_t high);
    /// Returns the decimal number of `key`, or `fallback` when it is absent or not within [low, high].
    double get_number(const std::string& key, double fallback, double low, double high);
    /// Returns the flag of `key` (`true` or `false`), or `fallback` when it is absent or invalid.
    bool get_flag(const std::string& key, bool fallback);
    /// Returns the positive duration of `key` (units us, ms, s, m, h), or `fallback` when it is absent or
    /// invalid.
    duration get_duration(const std::string& key, duration fallback);
    /// Returns the number of bytes of `key` (units B, KB, MB, GB, TB; powers of 1024), or `fallback` when it
    /// is absent or invalid.
    std::int64_t get_bytes(const std::string& key, std::int64_t fallback);
    /// Returns the comma-separated words of `key`; empty when it is absent.
    std::vector<std::string> get_list(const std::string& key);

    /// Returns the keys that begin with `prefix`, in the order of the section.
    [[nodiscard]] std::vector<std::string> find_keys(std::string_view prefix) const;
    /// Returns the line of `key`, or the line of the section header when it is absent.
    [[nodiscard]] int get_line(const std::string& key) const;
    /// Records an error at the line of `key`.
    void add_error(const std::string& key, const std::string& message);
    /// Records an error for each key that was never read. Precondition: called last.
    void finish();

private:
    const ini_entry* find(const std::string& key);

    const ini_section& m_section;
    std::vector<config_error>& m_errors;
    std::set<std::string> m_requested; ///< keys that were read
};

} // namespace poplarpitch
