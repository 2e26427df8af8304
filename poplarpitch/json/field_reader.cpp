#include "poplarpitch/json/field_reader.h"

#include "poplarpitch/json/truncated_number.h"

#include <cmath>
#include <limits>
#include <utility>

namespace poplarpitch {
namespace {

using json = nlohmann::json;

std::string make_item_path(const std::string& list, std::size_t index) {
    return list + "[" + std::to_string(index) + "]";
}

/// Why a value is not an integer of 64 bits with a sign, or its value.
struct converted_integer {
    std::int64_t value = 0;
    std::optional<field_problem> problem;
};

/// Converts a number. A fraction is cut off where `may_cut`, and is a problem otherwise.
converted_integer convert(const json& value, bool may_cut) {
    if (value.is_number_unsigned()) {
        const auto number = value.get<std::uint64_t>();
        if (number > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
            return {0, field_problem::too_large};
        }
        return {static_cast<std::int64_t>(number), {}};
    }
    if (value.is_number_integer()) {
        return {value.get<std::int64_t>(), {}};
    }
    if (!value.is_number_float()) {
        return {0, value.is_null() ? field_problem::null : field_problem::wrong_type};
    }
    const auto number = value.get<double>();
    if (!may_cut && std::trunc(number) != number) {
        return {0, field_problem::fractional};
    }
    const auto integer = truncate_to_integer(number);
    if (!integer.has_value()) {
        return {0, number < 0 ? field_problem::negative : field_problem::too_large};
    }
    return {*integer, {}};
}

} // namespace

std::optional<json> parse_json_object(const std::string& text) {
    auto value = json::parse(text, nullptr, false);
    if (value.is_discarded() || !value.is_object()) {
        return std::nullopt;
    }
    return value;
}

field_reader::field_reader(const json& object, std::string path, std::optional<field_error>& error)
    : m_object(object), m_path(std::move(path)), m_error(error) {}

void field_reader::report(const std::string& path, field_problem problem) {
    if (!m_error.has_value()) {
        m_error = field_error{path, problem};
    }
}

std::string field_reader::get_path(const char* name) const {
    return m_path.empty() ? std::string(name) : m_path + "." + name;
}

const json* field_reader::find(const char* name, bool is_required) {
    const auto found = m_object.find(name);
    if (found != m_object.end()) {
        return &*found;
    }
    if (is_required) {
        report(get_path(name), field_problem::missing);
    }
    return nullptr;
}

const json* field_reader::find_typed(const char* name, bool is_required,
                                     bool (json::*has_type)() const noexcept) {
    const auto* value = find(name, is_required);
    if (value == nullptr || (value->*has_type)()) {
        return value;
    }
    report(get_path(name), value->is_null() ? field_problem::null : field_problem::wrong_type);
    return nullptr;
}

std::string field_reader::get_text(const char* name, const std::optional<std::string>& fallback) {
    const auto* value = find_typed(name, !fallback.has_value(), &json::is_string);
    return value == nullptr ? fallback.value_or(std::string{}) : value->get<std::string>();
}

bool field_reader::get_flag(const char* name, bool fallback) {
    const auto* value = find_typed(name, false, &json::is_boolean);
    return value == nullptr ? fallback : value->get<bool>();
}

std::optional<std::int64_t> field_reader::read_integer(const json& value, const std::string& path,
                                                       const integer_range& range) {
    const auto converted = convert(value, false);
    if (converted.problem.has_value()) {
        report(path, *converted.problem);
        return std::nullopt;
    }
    if (converted.value < range.low) {
        report(path, converted.value < 0 ? field_problem::negative : field_problem::too_small);
        return std::nullopt;
    }
    if (converted.value > range.high) {
        report(path, field_problem::too_large);
        return std::nullopt;
    }
    return converted.value;
}

std::int64_t field_reader::get_integer(const char* name, const integer_range& range,
                                       std::optional<std::int64_t> fallback) {
    const auto* value = find(name, !fallback.has_value());
    const auto number = value == nullptr ? std::nullopt : read_integer(*value, get_path(name), range);
    return number.value_or(fallback.value_or(range.low));
}

std::int64_t field_reader::get_amount(const char* name, std::int64_t fallback) {
    const auto* value = find(name, false);
    if (value == nullptr) {
        return fallback;
    }
    const auto converted = convert(*value, true);
    const bool is_negative = value->is_number() && value->get<double>() < 0;
    if (is_negative || converted.problem.has_value()) {
        report(get_path(name), is_negative ? field_problem::negative : *converted.problem);
        return fallback;
    }
    return converted.value;
}

double field_reader::get_number(const char* name, double fallback) {
    const auto* value = find_typed(name, false, &json::is_number);
    if (value == nullptr) {
        return fallback;
    }
    const auto number = value->get<double>();
    if (number < 0) {
        report(get_path(name), field_problem::negative);
        return fallback;
    }
    return number;
}

std::vector<std::string> field_reader::get_texts(const char* name) {
    std::vector<std::string> texts;
    const auto* list = find_typed(name, false, &json::is_array);
    for (std::size_t index = 0; list != nullptr && index < list->size(); ++index) {
        const auto& item = (*list)[index];
        if (!item.is_string()) {
            report(make_item_path(get_path(name), index),
                   item.is_null() ? field_problem::null : field_problem::wrong_type);
            return {};
        }
        texts.push_back(item.get<std::string>());
    }
    return texts;
}

std::vector<std::int64_t> field_reader::get_integers(const char* name, const integer_range& range) {
    std::vector<std::int64_t> numbers;
    const auto* list = find_typed(name, false, &json::is_array);
    for (std::size_t index = 0; list != nullptr && index < list->size(); ++index) {
        const auto number = read_integer((*list)[index], make_item_path(get_path(name), index), range);
        if (!number.has_value()) {
            return {};
        }
        numbers.push_back(*number);
    }
    return numbers;
}

void field_reader::for_each_object(const char* name, const std::function<void(field_reader&)>& work) {
    const auto* list = find_typed(name, true, &json::is_array);
    for (std::size_t index = 0; list != nullptr && index < list->size(); ++index) {
        const auto& item = (*list)[index];
        const auto path = make_item_path(get_path(name), index);
        if (!item.is_object()) {
            report(path, item.is_null() ? field_problem::null : field_problem::wrong_type);
            return;
        }
        field_reader reader(item, path, m_error);
        work(reader);
    }
}

void field_reader::with_object(const char* name, const std::function<void(field_reader&)>& work) {
    if (const auto* value = find_typed(name, false, &json::is_object); value != nullptr) {
        field_reader reader(*value, get_path(name), m_error);
        work(reader);
    }
}

} // namespace poplarpitch
