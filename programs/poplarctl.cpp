#include "poplarpitch/command_line/version.h"
#include "poplarpitch/tools/control_commands.h"

#include <absl/strings/str_split.h>
#include <cxxopts.hpp>

#include <cstdlib>
#include <iostream>

namespace {

constexpr int usage_code = 2;

constexpr const char* commands_text = R"(
Commands:
  config check FILE             check a configuration without sending it
  config apply FILE [--wait]    change the configuration; --wait until it is in force everywhere
  config get [VERSION]          print a configuration
  config history                list the kept versions
  job submit JSON|FILE [--wait] submit a job; its id makes a retry safe
  job get ID | job list         show jobs; --tenant and --state select some
  job cancel ID                 cancel a job
  job resolve ID rerun|done|failed   decide the outcome of a parked or unknown job
  workers | members | status    show the state of the system
  members add|promote|remove|drain|lead NUMBER   change the control instances
  top                           a live view; with --wait one output only
  snapshot save FILE            write a backup of the replicated state
  snapshot inspect FILE         show what a backup contains
  explain ID LOG...             show what the logs record of a job, request or worker, and the line that explains its end

Exit codes: 0 success, 1 refused, 2 bad usage or configuration, 3 no entry could be reached,
            4 outcome unknown (retry with the same id), 5 --wait timed out.
Entries are taken from --entry or the environment variable POPLARCTL_ENTRY (host:port, comma-separated).
)";

} // namespace

int main(int count, char** arguments) {
    cxxopts::Options options("poplarctl", "Command line tool for operators and batch users.");
    options.positional_help("COMMAND ...");
    options.add_options()("entry", "entries to contact, host:port, comma-separated",
                          cxxopts::value<std::string>())(
        "output", "text or json", cxxopts::value<std::string>()->default_value("text"))(
        "wait", "wait until the condition of the command is true")(
        "timeout", "longest time to wait, seconds", cxxopts::value<int>()->default_value("30"))(
        "change-id", "id of a configuration change, which makes a retry safe",
        cxxopts::value<std::string>()->default_value(""))("base", "version that the change is based on",
                                                          cxxopts::value<std::string>()->default_value(""))(
        "author", "author who changes the configuration", cxxopts::value<std::string>()->default_value(""))(
        "tenant", "only this tenant's jobs", cxxopts::value<std::string>()->default_value(""))(
        "state", "only jobs in this state",
        cxxopts::value<std::string>()->default_value(""))("version", "print the version")(
        "help", "print this help")("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    try {
        const auto parsed = options.parse(count, arguments);
        if (parsed.count("help") > 0) {
            std::cout << options.help() << commands_text;
            return 0;
        }
        if (parsed.count("version") > 0) {
            std::cout << "poplarctl " << poplarpitch::version_text << "\n";
            return 0;
        }
        poplarpitch::command_options common;
        common.is_json = parsed["output"].as<std::string>() == "json";
        common.is_waiting = parsed.count("wait") > 0;
        common.timeout = std::chrono::seconds{parsed["timeout"].as<int>()};
        common.change_id = parsed["change-id"].as<std::string>();
        common.base = parsed["base"].as<std::string>();
        common.author = parsed["author"].as<std::string>();
        common.tenant = parsed["tenant"].as<std::string>();
        common.state = parsed["state"].as<std::string>();
        std::string entry_list = "127.0.0.1:8080";
        if (parsed.count("entry") > 0) {
            entry_list = parsed["entry"].as<std::string>();
        } else if (const char* variable = std::getenv("POPLARCTL_ENTRY")) {
            entry_list = variable;
        }
        const std::vector<std::string> entries = absl::StrSplit(entry_list, ',', absl::SkipEmpty());
        std::vector<std::string> command_words;
        if (parsed.count("words") > 0) {
            command_words = parsed["words"].as<std::vector<std::string>>();
        }
        poplarpitch::operator_client client(entries, std::chrono::seconds{10});
        return static_cast<int>(poplarpitch::run_command(client, command_words, common));
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "poplarctl: " << error.what() << "; see --help\n";
        return usage_code;
    }
}
