// Fields of documents from outside: what cannot be read is told apart and never converted silently.
#include "poplarpitch/json/field_reader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <limits>
#include <optional>
#include <string>

namespace poplarpitch {
namespace {

constexpr integer_range small_range{1, 100};

/// Reads the field `n` of a document as a whole number. Returns the problem, or nothing when it was read.
std::optional<field_problem> find_integer_problem(const std::string& value,
                                                  const integer_range& range = uint32_range) {
    const auto source = parse_json_object(R"({"n":)" + value + "}");
    EXPECT_TRUE(source.has_value()) << value;
    std::optional<field_error> error;
    field_reader reader(*source, {}, error);
    reader.get_integer("n", range);
    return error.has_value() ? std::optional(error->problem) : std::nullopt;
}

TEST(field_reader, tells_apart_why_a_whole_number_cannot_be_read) {
    EXPECT_EQ(find_integer_problem("null"), field_problem::null);
    EXPECT_EQ(find_integer_problem("\"7\""), field_problem::wrong_type);
    EXPECT_EQ(find_integer_problem("true"), field_problem::wrong_type);
    EXPECT_EQ(find_integer_problem("[7]"), field_problem::wrong_type);
    EXPECT_EQ(find_integer_problem("-1"), field_problem::negative);
    EXPECT_EQ(find_integer_problem("-9223372036854775808"), field_problem::negative);
    EXPECT_EQ(find_integer_problem("-1e30"), field_problem::negative);
    EXPECT_EQ(find_integer_problem("7.5"), field_problem::fractional);
    EXPECT_EQ(find_integer_problem("4294967296"), field_problem::too_large);
    EXPECT_EQ(find_integer_problem("18446744073709551615"), field_problem::too_large);
    EXPECT_EQ(find_integer_problem("1e19"), field_problem::too_large);
    EXPECT_EQ(find_integer_problem("0", small_range), field_problem::too_small);
    EXPECT_EQ(find_integer_problem("7"), std::nullopt);
    EXPECT_EQ(find_integer_problem("7.0"), std::nullopt);
}

TEST(field_reader, reads_whole_numbers_up_to_the_limits_of_their_range) {
    const auto source = parse_json_object(R"({"high":9223372036854775807,"low":-9223372036854775808})");
    std::optional<field_error> error;
    field_reader reader(*source, {}, error);
    EXPECT_EQ(reader.get_integer("high", {}), std::numeric_limits<std::int64_t>::max());
    EXPECT_EQ(reader.get_integer("low", {}), std::numeric_limits<std::int64_t>::min());
    EXPECT_EQ(error, std::nullopt);
}

TEST(field_reader, names_the_first_field_that_cannot_be_read) {
    const auto source = parse_json_object(R"({"routes":[{"name":"a"},{"name":7,"other":null}],"flag":3})");
    std::optional<field_error> error;
    field_reader reader(*source, {}, error);
    reader.for_each_object("routes", [](field_reader& route) { route.get_text("name"); });
    EXPECT_TRUE(reader.get_flag("flag", true));
    EXPECT_EQ(error, (field_error{"routes[1].name", field_problem::wrong_type}));
    EXPECT_EQ(error->describe(), "the field routes[1].name has the wrong type");
}

// Null and an object were read as lists, so a document with them dropped all routes.
TEST(field_reader, takes_nothing_but_a_list_for_a_list) {
    for (const char* list : {"null", "{}", R"({"a":{"name":"b"}})", "7", "\"\"", "[null]", "[[]]", "[7]"}) {
        const auto source = parse_json_object(std::string(R"({"routes":)") + list + "}");
        std::optional<field_error> error;
        field_reader reader(*source, {}, error);
        reader.for_each_object("routes",
                               [](field_reader& /*route*/) { FAIL() << "no object is in the list"; });
        EXPECT_TRUE(error.has_value()) << list;
    }
    const auto source = parse_json_object("{}");
    std::optional<field_error> error;
    field_reader reader(*source, {}, error);
    reader.for_each_object("routes", [](field_reader& /*route*/) {});
    EXPECT_EQ(error, (field_error{"routes", field_problem::missing}));
}

TEST(field_reader, uses_fallbacks_only_for_absent_fields) {
    const auto source = parse_json_object(R"({"null":null,"text":"x"})");
    std::optional<field_error> error;
    field_reader reader(*source, {}, error);
    EXPECT_EQ(reader.get_text("absent", "fallback"), "fallback");
    EXPECT_EQ(reader.get_integer("absent", uint32_range, 5), 5);
    EXPECT_EQ(reader.get_amount("absent", 6), 6);
    EXPECT_EQ(reader.get_number("absent", 0.5), 0.5);
    EXPECT_TRUE(reader.get_texts("absent").empty());
    EXPECT_EQ(error, std::nullopt);
    EXPECT_EQ(reader.get_amount("text", 6), 6);
    EXPECT_EQ(error, (field_error{"text", field_problem::wrong_type}));
}

TEST(field_reader, cuts_the_fraction_of_an_amount_but_takes_no_negative_one) {
    const auto source = parse_json_object(R"({"a":7.9,"b":-0.5,"c":1e300})");
    std::optional<field_error> error;
    field_reader reader(*source, {}, error);
    EXPECT_EQ(reader.get_amount("a"), 7);
    EXPECT_EQ(error, std::nullopt);
    reader.get_amount("b");
    EXPECT_EQ(error, (field_error{"b", field_problem::negative}));
    error.reset();
    reader.get_amount("c");
    EXPECT_EQ(error, (field_error{"c", field_problem::too_large}));
}

// A number is read as what the document says, or not at all.
RC_GTEST_PROP(field_reader, reads_an_integer_exactly_or_reports_it, (std::int64_t number, bool is_small)) {
    const auto value = is_small ? number % 200 : number;
    const auto source = parse_json_object(R"({"n":)" + std::to_string(value) + "}");
    std::optional<field_error> error;
    field_reader reader(*source, {}, error);
    const auto read = reader.get_integer("n", small_range);
    const bool is_in_range = value >= small_range.low && value <= small_range.high;
    RC_ASSERT(error.has_value() != is_in_range);
    RC_ASSERT(!is_in_range || read == value);
}

} // namespace
} // namespace poplarpitch
