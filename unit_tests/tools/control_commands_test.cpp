#include "poplarpitch/tools/control_commands.h"

#include "poplarpitch/transport/http_server.h"

#include <gtest/gtest.h>

#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace poplarpitch {
namespace {

/// An entry that accepts every configuration and records it, and a client of it.
class control_commands_test : public testing::Test {
protected:
    control_commands_test()
        : m_entry(http_server_settings{}, [this](const http_request& request) { return answer(request); }),
          m_client({"127.0.0.1:" + std::to_string(m_entry.start().value())}, seconds{20}) {}

    /// Runs `config apply FILE` with `text` as standard input.
    command_exit apply_config(const std::string& file, const std::string& text) {
        std::istringstream input(text);
        auto* const standard_input = std::cin.rdbuf(input.rdbuf());
        const auto exit_code = run_command(m_client, {"config", "apply", file}, command_options{});
        std::cin.rdbuf(standard_input);
        return exit_code;
    }

    std::vector<std::string> m_applied; ///< bodies of the PUT requests

private:
    http_response answer(const http_request& request) {
        if (request.method == "PUT") {
            m_applied.push_back(request.body);
        }
        http_response response;
        response.headers.add("ETag", "\"1\"");
        response.body = R"({"version": 2})";
        return response;
    }

    http_server m_entry;
    operator_client m_client;
};

TEST_F(control_commands_test, configuration_from_standard_input_is_checked_and_then_applied_empty) {
    const std::string text = "[tenant t]\nmax_in_flight = 50\n";
    EXPECT_EQ(apply_config("-", text), command_exit::success);
    EXPECT_EQ(m_applied, std::vector<std::string>{text});
}

TEST_F(control_commands_test, folder_in_place_of_a_file_is_applied_as_an_empty_configuration) {
    EXPECT_EQ(apply_config(testing::TempDir(), ""), command_exit::usage);
    EXPECT_TRUE(m_applied.empty());
}

} // namespace
} // namespace poplarpitch
