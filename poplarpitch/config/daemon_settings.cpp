#include "poplarpitch/config/daemon_settings.h"

#include "poplarpitch/config/section_reader.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace poplarpitch {
namespace {

constexpr int max_port = 65535;
constexpr int max_threads = 8192;
constexpr absl::string_view standby_suffix = "/spare";

/// Reads `1@127.0.0.1:7000` or `4@127.0.0.1:7003/spare`. Records an error when `text` has another form.
void read_peer(const std::string& text, section_reader& reader, std::vector<peer_address>& peers) {
    const auto at = text.find('@');
    peer_address peer;
    if (at == std::string::npos || !absl::SimpleAtoi(text.substr(0, at), &peer.id) || peer.id == 0 ||
        text.find(':', at) == std::string::npos) {
        reader.add_error("control", absl::StrCat("'", text, "' is not of the form id@host:port"));
        return;
    }
    peer.address = text.substr(at + 1);
    if (absl::EndsWith(peer.address, standby_suffix)) {
        peer.is_standby = true;
        peer.address.resize(peer.address.size() - standby_suffix.size());
    }
    for (const auto& other : peers) {
        if (other.id == peer.id) {
            reader.add_error("control", absl::StrCat("id ", peer.id, " is listed twice"));
        }
    }
    peers.push_back(std::move(peer));
}

} // namespace

parsed_daemon_settings parse_daemon_settings(std::string_view text, bool is_control) {
    parsed_daemon_settings parsed;
    const auto document = parse_ini(text);
    parsed.errors = document.errors;
    bool has_daemon_section = false;
    for (const auto& section : document.sections) {
        if (section.kind != "daemon") {
            parsed.errors.push_back({section.line, absl::StrCat("unknown section [", section.kind, "]")});
            continue;
        }
        has_daemon_section = true;
        section_reader reader(section, parsed.errors);
        auto& value = parsed.value;
        value.id = reader.get_text("id", "");
        value.data_centre = reader.get_text("data_centre", value.data_centre);
        value.host = reader.get_text("host", value.host);
        value.http_port = static_cast<int>(reader.get_integer("http_port", 0, 0, max_port));
        value.http_threads =
            static_cast<int>(reader.get_integer("http_threads", value.http_threads, 4, max_threads));
        value.max_body = reader.get_bytes("max_body", value.max_body);
        value.cluster = reader.get_text("cluster", value.cluster);
        value.log_level = reader.get_text("log_level", value.log_level);
        for (const auto& peer : reader.get_list("control")) {
            read_peer(peer, reader, value.control_peers);
        }
        if (value.id.empty()) {
            reader.add_error("id", "is missing");
        }
        if (value.control_peers.empty()) {
            reader.add_error("control", "is missing: name every control instance as id@host:port");
        }
        if (is_control) {
            value.grpc_port = static_cast<int>(reader.get_integer("grpc_port", 0, 0, max_port));
            value.node_id = static_cast<std::uint64_t>(reader.get_integer("node_id", 0, 1, max_port));
            value.data_folder = reader.get_text("data_folder", "");
            if (value.data_folder.empty()) {
                reader.add_error("data_folder", "is missing");
            }
            if (value.node_id == 0) {
                reader.add_error("node_id", "is missing");
            }
        }
        reader.finish();
    }
    if (!has_daemon_section) {
        parsed.errors.push_back({0, "section [daemon] is missing"});
    }
    return parsed;
}

} // namespace poplarpitch
