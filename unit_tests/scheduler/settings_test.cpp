// Settings of the two programs: every error is reported with its line, and the templates of deploy/ use only
// known keys.
#include "poplarpitch/core/text_file.h"
#include "poplarpitch/gateway/gateway_settings.h"
#include "poplarpitch/scheduler/scheduler_settings.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <map>
#include <string>

namespace poplarpitch {
namespace {

/// Replaces `{{name}}` in a template as the platform does.
std::string fill(std::string text, const std::map<std::string, std::string>& values) {
    for (const auto& [name, value] : values) {
        const auto mark = "{{" + name + "}}";
        for (auto place = text.find(mark); place != std::string::npos; place = text.find(mark)) {
            text.replace(place, mark.size(), value);
        }
    }
    return text;
}

std::string read_template(const std::string& name) {
    const auto text = read_text_file(std::string(POPLARPITCH_SOURCE) + "/deploy/" + name);
    EXPECT_TRUE(text.has_value());
    return text.value_or("");
}

/// The section of a deployment that does not ask for the decisions must not turn them on.
TEST(scheduler_settings, leaves_the_decisions_under_hard_load_off_unless_they_are_turned_on) {
    const std::string required = "[instance]\nid = a\nhost = 127.0.0.1\nlink_port = 1\nseeds = 127.0.0.1:2\n"
                                 "[control]\nlisten = 127.0.0.1:3\ndata_folder = /d\n";
    const auto without = parse_scheduler_settings(required);
    EXPECT_TRUE(without.errors.empty());
    EXPECT_EQ(without.value.dispatch.decisions, decision_settings{});
    const auto with = parse_scheduler_settings(required + "[decisions]\nrefuse_late = true\n"
                                                          "keep_learned = true\nmove_from_slow = true\n"
                                                          "fair_shares = true\n");
    EXPECT_TRUE(with.errors.empty());
    EXPECT_EQ(with.value.dispatch.decisions, (decision_settings{true, true, true, true, {}}));
}

const std::string decisions_text = "[instance]\nid = a\nhost = 127.0.0.1\n[control]\nlisten = 127.0.0.1:3\n"
                                   "data_folder = /d\n[decisions]\n";

TEST(scheduler_settings, reads_the_weights_of_queues) {
    const auto parsed =
        parse_scheduler_settings(decisions_text + "fair_shares = true\nshare.batch = 2.5\nshare.web = 1\n");
    EXPECT_TRUE(parsed.errors.empty());
    const std::map<std::string, double> weights = {{"batch", 2.5}, {"web", 1}};
    EXPECT_EQ(parsed.value.dispatch.decisions.share_weights, weights);
}

/// A weight of 0 would give a queue nothing while others wait, and a misspelt one would silently count as 1.
TEST(scheduler_settings, rejects_a_weight_that_is_no_positive_number) {
    for (const std::string value : {"0", "-1", "much", "inf", "nan", "1e9"}) {
        auto text = decisions_text;
        text.append("share.batch = ").append(value).append("\n");
        const auto parsed = parse_scheduler_settings(text);
        ASSERT_EQ(parsed.errors.size(), 1U) << value;
        EXPECT_EQ(parsed.errors[0].line, 8) << value;
        EXPECT_NE(parsed.errors[0].format("scheduler.ini").find("share.batch"), std::string::npos) << value;
    }
    const auto without_queue = parse_scheduler_settings(decisions_text + "share. = 2\n");
    ASSERT_EQ(without_queue.errors.size(), 1U);
    EXPECT_NE(without_queue.errors[0].format("scheduler.ini").find("share."), std::string::npos);
}

TEST(scheduler_settings, rejects_a_decision_that_is_unknown_or_no_flag) {
    const auto parsed =
        parse_scheduler_settings("[instance]\nid = a\n[control]\nlisten = 127.0.0.1:3\n"
                                 "data_folder = /d\n[decisions]\nrefuse_late = 7\nrefuse = true\n");
    std::string errors;
    for (const auto& error : parsed.errors) {
        errors += error.format("scheduler.ini");
    }
    EXPECT_NE(errors.find("refuse_late"), std::string::npos);
    EXPECT_NE(errors.find("refuse"), std::string::npos);
    EXPECT_GE(parsed.errors.size(), 2U);
}

TEST(scheduler_settings, reads_the_filled_template) {
    const auto text =
        fill(read_template("scheduler.ini"), {{"node", "core-1"},
                                              {"zone", "hall"},
                                              {"ip", "10.1.0.16"},
                                              {"portRange.0", "7720"},
                                              {"seeds", "10.1.0.16:8166,10.2.0.32:8166,10.3.0.37:8166"},
                                              {"listen.control", "10.1.0.16:8166"},
                                              {"dataDir", "/data/core"},
                                              {"bootstrap", "true"},
                                              {"faultTolerance.machines", "2"},
                                              {"advice", "10.200.1.9:8169"},
                                              {"bounds.holdMaxMs", "10000"},
                                              {"bounds.stopMs", "900"},
                                              {"bounds.status_s", "120"},
                                              {"#heartbeatMs", ""},
                                              {"heartbeatMs", "3000"},
                                              {"/heartbeatMs", ""},
                                              {"limits.maxFds", "6424"},
                                              {"limits.memoryMb", "640"}});
    const auto parsed = parse_scheduler_settings(text);
    for (const auto& error : parsed.errors) {
        ADD_FAILURE() << error.format("scheduler.ini");
    }
    EXPECT_EQ(parsed.value.replica.seeds.size(), 3U);
    EXPECT_EQ(parsed.value.replica.seeds[1], "10.2.0.32");
    EXPECT_EQ(parsed.value.replica.voters, 5U);
    EXPECT_TRUE(parsed.value.replica.may_found);
    EXPECT_EQ(parsed.value.control_port, 8166);
    EXPECT_EQ(parsed.value.dispatch.ended_job_retention, seconds{125});
    EXPECT_EQ(parsed.value.advice_address, "10.200.1.9:8169");
    EXPECT_EQ(parsed.value.memory_limit, 640U << 20);
    EXPECT_EQ(parsed.value.relay.report_lifetime, seconds{6});
}

/// Returns the settings of a scheduler whose workers send heartbeats at this interval.
scheduler_settings read_with_heartbeat(const std::string& interval) {
    const auto text = absl::StrCat("[instance]\nid = a\n[control]\nlisten = 10.0.0.4:8080\ndata_folder = /d\n"
                                   "[workers]\nheartbeat = ",
                                   interval, "\n");
    const auto parsed = parse_scheduler_settings(text);
    for (const auto& error : parsed.errors) {
        ADD_FAILURE() << error.format("scheduler.ini");
    }
    return parsed.value;
}

// Guards against a fleet whose workers send heartbeats every 3 s: relays dropped the reports of live workers
// before the next ones came, and the room of a pool that does not enforce it was unknown a third of the time.
TEST(scheduler_settings, keeps_reports_for_longer_than_the_interval_between_heartbeats) {
    const auto value = read_with_heartbeat("3s");
    EXPECT_EQ(value.relay.report_lifetime, seconds{6});
    EXPECT_EQ(value.dispatch.initial_report_time, seconds{6});
    EXPECT_GT(value.dispatch.max_capacity_age, seconds{3});
}

TEST(scheduler_settings, changes_nothing_for_the_usual_interval_between_heartbeats) {
    const scheduler_settings usual;
    const auto value = read_with_heartbeat("1500ms");
    EXPECT_EQ(value.relay.report_lifetime, usual.relay.report_lifetime);
    EXPECT_EQ(value.dispatch.initial_report_time, usual.dispatch.initial_report_time);
    EXPECT_EQ(value.dispatch.max_capacity_age, usual.dispatch.max_capacity_age);
}

TEST(scheduler_settings, divides_the_descriptors_that_the_process_may_have) {
    const auto text = "[instance]\nid = a\n[control]\nlisten = 10.0.0.4:8080\ndata_folder = "
                      "/d\n[connections]\ndescriptors = 6424\n";
    const auto parsed = parse_scheduler_settings(text);
    for (const auto& error : parsed.errors) {
        ADD_FAILURE() << error.format("scheduler.ini");
    }
    EXPECT_GE(parsed.value.caller.max_connections, 3600U) << "two for each of 1,800 workers";
    EXPECT_LE(parsed.value.caller.max_connections + parsed.value.max_accepted, 6424U - 640U)
        << "files, and a connection from each of 600 entry instances";
}

TEST(scheduler_settings, refuses_fewer_descriptors_than_it_can_work_with) {
    const auto parsed = parse_scheduler_settings("[connections]\ndescriptors = 100\n");
    ASSERT_FALSE(parsed.errors.empty());
    EXPECT_EQ(parsed.errors[0].line, 2);
}

TEST(scheduler_settings, grants_no_lease_longer_than_the_deployment_allows) {
    const auto parsed =
        parse_scheduler_settings("[instance]\nid = a\nhost = 127.0.0.1\n[control]\nlisten = 127.0.0.1:1\n"
                                 "data_folder = d\n[workers]\nlease = 9s\nlongest_lease = 3s\n");
    EXPECT_TRUE(parsed.errors.empty());
    EXPECT_EQ(parsed.value.dispatch.lease, seconds{3});
}

TEST(scheduler_settings, reports_every_error_with_its_line) {
    const auto parsed =
        parse_scheduler_settings("[instance]\nhost = here\n[control]\nlisten = 8080\nlease = 3s\n[other]\n");
    std::map<int, int> lines;
    for (const auto& error : parsed.errors) {
        ++lines[error.line];
    }
    EXPECT_GE(lines[2], 1); // host is no address
    EXPECT_GE(lines[4], 1); // listen has no host
    EXPECT_GE(lines[5], 1); // unknown key here
    EXPECT_GE(lines[6], 1); // unknown section
}

TEST(gateway_settings, reads_the_filled_template) {
    const auto text = fill(read_template("entry.ini"), {{"node", "front-1"},
                                                        {"zone", "hall"},
                                                        {"portRange.0", "7720"},
                                                        {"seeds", "10.1.0.16:8166"},
                                                        {"listen.front", "10.1.0.13:8161"},
                                                        {"listen.ready", "10.1.0.13:8167"},
                                                        {"limits.memoryMb", "260"}});
    const auto parsed = parse_gateway_settings(text);
    for (const auto& error : parsed.errors) {
        ADD_FAILURE() << error.format("entry.ini");
    }
    EXPECT_EQ(parsed.value.caller_port, 8161);
    EXPECT_EQ(parsed.value.ready_port, 8167);
    EXPECT_EQ(parsed.value.seeds.at(0), "10.1.0.16");
    EXPECT_TRUE(parsed.value.spread_returns);
    EXPECT_EQ(parsed.value.memory_limit, 260U << 20);
}

// A deployment that does not tell its memory must still start.
TEST(gateway_settings, keeps_the_default_memory_where_the_deployment_does_not_tell_it) {
    const std::string text = "[instance]\nid = g\nseeds = 10.1.0.16:1\nlink_port = 3\n"
                             "[entry]\nlisten = 10.0.0.1:1\nready = 10.0.0.1:2\nmemory_mb = ";
    for (const char* value : {"", "{{limits.memoryMb}}"}) {
        const auto parsed = parse_gateway_settings(text + value + "\n");
        EXPECT_TRUE(parsed.errors.empty()) << value;
        EXPECT_EQ(parsed.value.memory_limit, gateway_settings::default_memory_bytes) << value;
    }
    for (const char* value : {"much", "0", "-5", "1e9"}) {
        const auto parsed = parse_gateway_settings(text + value + "\n");
        ASSERT_EQ(parsed.errors.size(), 1U) << value;
        EXPECT_EQ(parsed.errors[0].line, 8) << value;
    }
}

/// Returns settings whose first seven lines are the required ones, with `entry_line` as the eighth.
std::string make_gateway_text(const std::string& entry_line) {
    return "[instance]\nid = g\nseeds = 10.1.0.16:1\nlink_port = 3\n"
           "[entry]\nlisten = 10.0.0.1:1\nready = 10.0.0.1:2\n" +
           entry_line;
}

TEST(gateway_settings, spreads_returns_only_where_it_is_set) {
    const auto without = parse_gateway_settings(make_gateway_text(""));
    EXPECT_TRUE(without.errors.empty());
    EXPECT_FALSE(without.value.spread_returns);
    const auto with = parse_gateway_settings(make_gateway_text("spread_returns = true\n"));
    EXPECT_TRUE(with.errors.empty());
    EXPECT_TRUE(with.value.spread_returns);
}

TEST(gateway_settings, reports_a_bad_value_of_spread_returns_with_its_line) {
    const auto parsed = parse_gateway_settings(make_gateway_text("spread_returns = often\n"));
    ASSERT_EQ(parsed.errors.size(), 1U);
    EXPECT_EQ(parsed.errors[0].line, 8);
    EXPECT_FALSE(parsed.value.spread_returns);
}

TEST(gateway_settings, needs_seeds_and_addresses) {
    const auto parsed = parse_gateway_settings("[instance]\nid = g\n[entry]\nlisten = 10.0.0.1\n");
    EXPECT_GE(parsed.errors.size(), 3U);
}

} // namespace
} // namespace poplarpitch
