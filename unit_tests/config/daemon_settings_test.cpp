#include "poplarpitch/config/daemon_settings.h"

#include <gtest/gtest.h>

namespace poplarpitch {
namespace {

TEST(daemon_settings, reads_peers_and_spares) {
    const auto parsed = parse_daemon_settings("[daemon]\nid = c\nnode_id = 2\ndata_folder = d\n"
                                              "control = 1@127.0.0.1:1, 2@127.0.0.1:2/spare\n",
                                              true);
    ASSERT_TRUE(parsed.errors.empty()) << parsed.errors.front().message;
    ASSERT_EQ(parsed.value.control_peers.size(), 2U);
    EXPECT_FALSE(parsed.value.control_peers[0].is_standby);
    EXPECT_TRUE(parsed.value.control_peers[1].is_standby);
    EXPECT_EQ(parsed.value.control_peers[1].address, "127.0.0.1:2");
}

TEST(daemon_settings, reports_missing_keys) {
    const auto parsed = parse_daemon_settings("[daemon]\ncontrol = x\n", true);
    std::string all;
    for (const auto& error : parsed.errors) {
        all += error.format("f") + "\n";
    }
    EXPECT_NE(all.find("f:1: id: is missing"), std::string::npos) << all;
    EXPECT_NE(all.find("f:2: control: 'x' is not of the form"), std::string::npos) << all;
    EXPECT_NE(all.find("data_folder: is missing"), std::string::npos) << all;
    EXPECT_FALSE(parse_daemon_settings("", false).errors.empty());
}

TEST(daemon_settings, rejects_control_keys_for_an_entry) {
    const auto parsed = parse_daemon_settings("[daemon]\nid = e\ncontrol = 1@a:1\ndata_folder = d\n", false);
    ASSERT_EQ(parsed.errors.size(), 1U);
    EXPECT_NE(parsed.errors.front().message.find("unknown key 'data_folder'"), std::string::npos);
}

} // namespace
} // namespace poplarpitch
