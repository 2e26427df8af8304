#pragma once

#include "poplarpitch/json/field_error.h"
#include "poplarpitch/json/integer_range.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace poplarpitch {

/// Reads typed fields of a JSON object from another process and keeps the first error.
///
/// A value is never converted silently: a missing field, null, another type, a fraction and a number out of
/// range are told apart. Fields that are not asked for are ignored, since other implementations send fields
/// of their own. After an error every method still returns its fallback or an empty value, so that a document
/// is read without branches and the error is looked at once. Thread safety: none, for all methods.
class field_reader {
public:
    /// Reads from `object`; `path` is its place in the document, empty for the top. Errors go to `error`.
    /// Precondition: `object` and `error` outlive the reader.
    field_reader(const nlohmann::json& object, std::string path, std::optional<field_error>& error);

    /// Returns a text; without `fallback` the field is required.
    std::string get_text(const char* name, const std::optional<std::string>& fallback = {});
    /// Returns true or false, or `fallback` when the field is absent.
    bool get_flag(const char* name, bool fallback);
    /// Returns a whole number within `range`; without `fallback` the field is required. 3.0 is a whole
    /// number.
    std::int64_t get_integer(const char* name, const integer_range& range,
                             std::optional<std::int64_t> fallback = {});
    /// Returns an amount that is not negative, without its fraction, or `fallback` when the field is absent.
    std::int64_t get_amount(const char* name, std::int64_t fallback = 0);
    /// Returns a number that is not negative, or `fallback` when the field is absent.
    double get_number(const char* name, double fallback);
    /// Returns a list of texts; empty when the field is absent.
    std::vector<std::string> get_texts(const char* name);
    /// Returns a list of whole numbers within `range`; empty when the field is absent.
    std::vector<std::int64_t> get_integers(const char* name, const integer_range& range);
    /// Calls `work` for each object of a required list.
    void for_each_object(const char* name, const std::function<void(field_reader&)>& work);
    /// Calls `work` for an object; does nothing when the field is absent.
    void with_object(const char* name, const std::function<void(field_reader&)>& work);

private:
    /// Returns the value of a field, or null when it is absent. An absent field is an error if `is_required`.
    const nlohmann::json* find(const char* name, bool is_required);
    /// Returns the value when it has the right type. Reports another type.
    const nlohmann::json* find_typed(const char* name, bool is_required,
                                     bool (nlohmann::json::*has_type)() const noexcept);
    [[nodiscard]] std::string get_path(const char* name) const;
    std::optional<std::int64_t> read_integer(const nlohmann::json& value, const std::string& path,
                                             const integer_range& range);
    void report(const std::string& path, field_problem problem);

    const nlohmann::json& m_object;
    std::string m_path;
    std::optional<field_error>& m_error;
};

/// Parses a JSON object. Returns nothing when the text is invalid JSON, which includes texts that are not
/// UTF-8, or another JSON value. Thread safety: any thread.
[[nodiscard]] std::optional<nlohmann::json> parse_json_object(const std::string& text);

} // namespace poplarpitch
