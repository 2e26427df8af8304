#include "poplarpitch/config/configuration_parser.h"
#include "poplarpitch/entry/announcement_codec.h"
#include "poplarpitch/entry/call_reader.h"
#include "poplarpitch/entry/job_codec.h"
#include "poplarpitch/entry/protocol_names.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplarpitch {
namespace {

std::string announcement_error(const std::string& text) {
    const auto decoded = decode_announcement(text);
    const auto* error = std::get_if<codec_error>(&decoded);
    return error == nullptr ? "" : error->message;
}

TEST(announcement_codec, reads_what_it_wrote) {
    announcement message;
    message.id = "w";
    message.address = "127.0.0.1:1";
    message.services = {"a", "b"};
    message.capacity = {8, 64000, 1LL << 40, 2};
    message.epoch = 3;
    message.incarnation = 1ULL << 60;
    message.sequence = 9;
    message.is_complete = true;
    message.requests = {"r1"};
    message.tasks = {{"j", 2, milliseconds{30}}};
    message.reports = {{5, "j", 1, "failed", "why", "c", 0.5, 2, 3}};
    const auto decoded = decode_announcement(encode_announcement(message));
    ASSERT_TRUE(std::holds_alternative<announcement>(decoded))
        << announcement_error(encode_announcement(message));
    EXPECT_EQ(std::get<announcement>(decoded), message);
}

TEST(announcement_codec, bounds_what_a_report_leaves_in_the_log) {
    const auto make = [](const std::string& key, std::size_t size) {
        return R"({"id":"w","address":"a:1","reports":[{"number":1,"job":"j","kind":"finished",")" + key +
               R"(":")" + std::string(size, 'x') + R"("}]})";
    };
    EXPECT_EQ(announcement_error(make("detail", 4096)), "");
    EXPECT_NE(announcement_error(make("detail", 4097)).find("'detail' has more than 4096"),
              std::string::npos);
    EXPECT_EQ(announcement_error(make("checkpoint", 65536)), "");
    EXPECT_NE(announcement_error(make("checkpoint", 65537)).find("'checkpoint'"), std::string::npos);
}

TEST(announcement_codec, rejects_invalid_announcements_with_a_reason) {
    EXPECT_NE(announcement_error("{"), "");
    EXPECT_NE(announcement_error("[]"), "");
    EXPECT_NE(announcement_error(R"({"id":"w"})").find("address"), std::string::npos);
    EXPECT_NE(announcement_error(R"({"id":"w","address":"a:1","capacity":{"slots":-1}})").find("negative"),
              std::string::npos);
    EXPECT_NE(
        announcement_error(R"({"id":"w","address":"a:1","capacity":{"slots":"8"}})").find("whole number"),
        std::string::npos);
    EXPECT_NE(announcement_error(R"({"id":"w","address":"a:1","services":["s","s"]})").find("different"),
              std::string::npos);
    EXPECT_NE(
        announcement_error(R"({"id":"w","address":"a:1","tasks":[{"job":"j"},{"job":"j"}]})").find("twice"),
        std::string::npos);
    EXPECT_NE(announcement_error(R"({"id":"a b","address":"a:1"})").find("'id'"), std::string::npos);
    EXPECT_NE(
        announcement_error(R"({"id":"w","address":"a:1","reports":[{"job":"j","kind":"won"}]})").find("kind"),
        std::string::npos);
}

RC_GTEST_PROP(announcement_codec, decodes_any_text_without_crashing, (const std::string& text)) {
    static_cast<void>(decode_announcement(text));
    static_cast<void>(decode_announce_answer(text));
}

class call_reader_test : public testing::Test {
protected:
    int read_status(const std::string& target, const std::vector<http_header>& headers = {}) {
        http_request request;
        request.method = "POST";
        request.target = target;
        for (const auto& header : headers) {
            request.headers.add(header.name, header.value);
        }
        const auto settings =
            parse_configuration("[tenant t]\n[service s]\ndeadline = 1s\nidempotent = true\n"
                                "[service strict]\nrequire_key = true\n")
                .value;
        m_read = read_call(request, settings, time_point{seconds{1}});
        const auto* refused = std::get_if<http_response>(&m_read);
        if (refused != nullptr) {
            EXPECT_EQ(refused->headers.get(header_outcome), outcome_not_run);
        }
        return refused == nullptr ? 0 : refused->status;
    }

    std::variant<call_info, http_response> m_read;
};

TEST_F(call_reader_test, reads_a_call) {
    ASSERT_EQ(read_status("/v1/call/s/a/b?c=d", {{header_tenant, "t"}, {header_deadline, "250"}}), 0);
    const auto& call = std::get<call_info>(m_read);
    EXPECT_EQ(call.service, "s");
    EXPECT_EQ(call.path_suffix, "/a/b?c=d");
    EXPECT_EQ(call.deadline, time_point{milliseconds{1250}});
    EXPECT_TRUE(call.is_idempotent);
}

TEST_F(call_reader_test, refuses_bad_input_with_a_clear_code) {
    EXPECT_EQ(read_status("/v1/call/nobody"), 404);
    EXPECT_EQ(read_status("/v1/call/"), 404);
    EXPECT_EQ(read_status("/v1/call/s", {{header_tenant, "nobody"}}), 400);
    EXPECT_EQ(read_status("/v1/call/s", {{header_deadline, "-5"}}), 400);
    EXPECT_EQ(read_status("/v1/call/s", {{header_deadline, "0"}}), 400);
    EXPECT_EQ(read_status("/v1/call/s", {{header_deadline, "99999999999999999999"}}), 400);
    EXPECT_EQ(read_status("/v1/call/s", {{header_deadline, "soon"}}), 400);
    EXPECT_EQ(read_status("/v1/call/s", {{header_idempotent, "maybe"}}), 400);
    EXPECT_EQ(read_status("/v1/call/s", {{header_key, std::string(300, 'k')}}), 400);
    EXPECT_EQ(read_status("/v1/call/strict"), 400);
    EXPECT_EQ(read_status("/v1/call/strict", {{header_key, "k"}}), 0);
}

std::string job_error(const std::string& text) {
    const auto settings = parse_configuration("[tenant t]\n[batch b]\ncores = 2\n").value;
    const auto decoded = decode_job(text, settings);
    const auto* error = std::get_if<codec_error>(&decoded);
    return error == nullptr ? "" : error->message;
}

TEST(job_codec, refuses_bad_jobs_with_a_reason) {
    EXPECT_EQ(job_error(R"({"id":"j","tenant":"t","batch":"b"})"), "");
    EXPECT_NE(job_error("no json"), "");
    EXPECT_NE(job_error(R"({"id":"a/b","tenant":"t","batch":"b"})").find("'id'"), std::string::npos);
    EXPECT_NE(job_error(R"({"id":"j","tenant":"x","batch":"b"})").find("tenant"), std::string::npos);
    EXPECT_NE(job_error(R"({"id":"j","tenant":"t","batch":"x"})").find("batch"), std::string::npos);
    EXPECT_NE(job_error(R"({"id":"j","tenant":"t","batch":"b","memory":-1})").find("memory"),
              std::string::npos);
    EXPECT_NE(job_error(R"({"id":"j","tenant":"t","batch":"b","memroy":1})").find("unknown key"),
              std::string::npos);
}

// A flag of another type was ignored: a job marked so as not to be repeated counted as repeatable by its
// class.
TEST(job_codec, refuses_fields_of_another_type) {
    for (const char* field :
         {R"("idempotent":"no")", R"("idempotent":null)", R"("urgent":1)", R"("payload":7)", R"("slots":1.5)",
          R"("slots":null)", R"("memory":18446744073709551615)"}) {
        const auto error = job_error(std::string(R"({"id":"j","tenant":"t","batch":"b",)") + field + "}");
        EXPECT_NE(error, "") << field;
    }
    EXPECT_EQ(job_error(R"({"id":"j","tenant":"t","batch":"b","idempotent":false,"urgent":true,"slots":2})"),
              "");
}

} // namespace
} // namespace poplarpitch
