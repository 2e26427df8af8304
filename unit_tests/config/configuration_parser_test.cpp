#include "poplarpitch/config/configuration_parser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace poplarpitch {
namespace {

/// Returns true when there is an error at `line` whose message contains `part`.
bool has_error(const parsed_configuration& parsed, int line, const std::string& part) {
    return std::any_of(parsed.errors.begin(), parsed.errors.end(), [&](const config_error& error) {
        return error.line == line && error.message.find(part) != std::string::npos;
    });
}

TEST(configuration_parser, reads_every_kind_of_section) {
    const auto parsed = parse_configuration("[system]\nsession_lease = 2s\n"
                                            "[objective]\ntail = 0.5\n"
                                            "[tenant a]\nweight = 3\nquota_cores = 10\n"
                                            "[service s]\ndeadline = 250ms\nidempotent = true\nslots = 2\n"
                                            "[batch b]\ncores = 1.5\nmemory = 2GB\nurgent = true\n");
    ASSERT_TRUE(parsed.errors.empty()) << parsed.errors.front().message;
    EXPECT_EQ(parsed.value.system.session_lease, seconds{2});
    EXPECT_EQ(parsed.value.objective.tail, 0.5);
    EXPECT_EQ(parsed.value.find_tenant("a")->millicores, 10000);
    EXPECT_EQ(parsed.value.find_service("s")->deadline, milliseconds{250});
    EXPECT_EQ(parsed.value.find_service("s")->demand.slots, 2);
    EXPECT_EQ(parsed.value.find_batch("b")->demand.millicores, 1500);
    EXPECT_EQ(parsed.value.find_batch("b")->demand.memory, 2LL << 30);
}

TEST(configuration_parser, names_every_mistake_with_its_line) {
    const auto parsed = parse_configuration("[tenant a]\n"       // 1
                                            "wieght = 3\n"       // 2
                                            "[service s]\n"      // 3
                                            "deadline = 250\n"   // 4
                                            "depends = nobody\n" // 5
                                            "[batch b]\n"        // 6
                                            "memory = 2XB\n"     // 7
                                            "cores = -1\n"       // 8
                                            "[tenant a]\n"       // 9
                                            "[what]\n"           // 10
                                            "no value here\n"    // 11
                                            "[service s2\n");    // 12
    EXPECT_TRUE(has_error(parsed, 2, "unknown key"));
    EXPECT_TRUE(has_error(parsed, 4, "length of time"));
    EXPECT_TRUE(has_error(parsed, 5, "no service is called"));
    EXPECT_TRUE(has_error(parsed, 7, "amount of bytes"));
    EXPECT_TRUE(has_error(parsed, 8, "no number"));
    EXPECT_TRUE(has_error(parsed, 9, "stands twice"));
    EXPECT_TRUE(has_error(parsed, 10, "unknown section"));
    EXPECT_TRUE(has_error(parsed, 11, "key = value"));
    EXPECT_TRUE(has_error(parsed, 12, "closing bracket"));
}

TEST(configuration_parser, rejects_an_empty_duplicate_section) {
    EXPECT_TRUE(has_error(parse_configuration("[tenant a]\n[tenant a]\n"), 2, "stands twice"));
}

TEST(configuration_parser, rejects_a_dependency_cycle) {
    const auto parsed =
        parse_configuration("[service a]\ndepends = b\n[service b]\ndepends = c\n[service c]\n"
                            "depends = a\n");
    ASSERT_EQ(parsed.errors.size(), 1U);
    EXPECT_NE(parsed.errors.front().message.find("a -> b -> c -> a"), std::string::npos);
}

TEST(configuration_parser, rejects_lease_times_in_the_wrong_order) {
    EXPECT_TRUE(has_error(parse_configuration("[system]\nsession_lease = 100ms\n"), 1, "drift_margin"));
    EXPECT_TRUE(has_error(parse_configuration("[system]\ntask_lease = 1s\n"), 1, "task_lease"));
}

TEST(configuration_parser, reports_a_line_that_is_too_long) {
    const auto parsed = parse_configuration("[service a]\ndepends = " + std::string(300, 'x') + "\n");
    EXPECT_TRUE(has_error(parsed, 2, "longer than"));
}

RC_GTEST_PROP(configuration_parser, reports_well_formed_errors_for_any_bytes, (const std::string& text)) {
    const auto parsed = parse_configuration(text);
    for (const auto& error : parsed.errors) {
        RC_ASSERT(error.line >= 0);
        RC_ASSERT(!error.message.empty());
    }
}

} // namespace
} // namespace poplarpitch
