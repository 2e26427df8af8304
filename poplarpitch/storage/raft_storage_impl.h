#pragma once

// Definitions of raft_storage, for source files that instantiate it with their own file system.

#include "poplarpitch/storage/raft_storage.h"

#include "poplarpitch/storage/frame_codec.h"
#include "poplarpitch/storage/raft_codec.h"
#include "poplarpitch/storage/storage_error.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace poplarpitch {

inline constexpr std::uint32_t storage_format = 1;
inline constexpr const char* snapshot_name = "snapshot";
inline constexpr const char* snapshot_new_name = "snapshot.new";
inline constexpr const char* members_name = "founding-members";
inline constexpr const char* members_new_name = "founding-members.new";
inline constexpr const char* segment_prefix = "log-";

template <file_system FileSystem>
raft_storage<FileSystem>::raft_storage(FileSystem& files, const storage_settings& settings)
    : m_files(files), m_settings(settings) {}

/// Checks that a file belongs to this cluster and node and has a supported format.
inline result<void> check_identity(const wire::wal_identity& identity, const storage_settings& settings) {
    if (identity.format() > storage_format) {
        return make_error_code(storage_errc::unknown_format);
    }
    if (identity.cluster() != settings.cluster) {
        return make_error_code(storage_errc::other_cluster);
    }
    if (identity.node() != settings.node) {
        return make_error_code(storage_errc::other_node);
    }
    return boost::outcome_v2::success();
}

inline void set_identity(wire::wal_identity& identity, const storage_settings& settings) {
    identity.set_cluster(settings.cluster);
    identity.set_node(settings.node);
    identity.set_format(storage_format);
}

template <file_system FileSystem>
result<stored_state> raft_storage<FileSystem>::open() {
    BOOST_OUTCOME_TRY(m_files.lock());
    BOOST_OUTCOME_TRY(names, m_files.list());
    stored_state state;
    std::vector<std::string> segments;
    for (const auto& name : names) {
        if (name == snapshot_new_name || name == members_new_name) {
            BOOST_OUTCOME_TRY(m_files.remove(name)); // left by a crash before its rename
        } else if (absl::StartsWith(name, segment_prefix)) {
            segments.push_back(name);
        } else if (name == snapshot_name || name == members_name) {
            state.is_empty = false;
        }
    }
    state.is_empty = state.is_empty && segments.empty();
    if (state.is_empty) {
        return state;
    }
    BOOST_OUTCOME_TRY(read_snapshot(state));
    for (const auto& name : segments) {
        BOOST_OUTCOME_TRY(read_segment(name, name == segments.back(), state));
        m_segment = name;
        static_cast<void>(
            absl::SimpleAtoi(name.substr(std::string_view(segment_prefix).size()), &m_segment_number));
    }
    if (trim_log_to_snapshot(state) || m_segment.empty()) {
        BOOST_OUTCOME_TRY(start_segment(state.snapshot, state.state, state.entries));
        BOOST_OUTCOME_TRY(remove_old_segments());
    }
    return state;
}

template <file_system FileSystem>
bool raft_storage<FileSystem>::trim_log_to_snapshot(stored_state& state) {
    const auto& snapshot = state.snapshot;
    if (snapshot.index == m_base_index && snapshot.term == m_base_term) {
        return false;
    }
    // A crash occurred between writing the snapshot and starting the new segment. Entries after the snapshot
    // may be kept only if the log holds the snapshot's last entry. Otherwise they may come from a deposed
    // leader, and their low last term would let this node vote for a log that lacks committed entries.
    const bool is_in_log =
        snapshot.index > m_base_index && snapshot.index - m_base_index <= state.entries.size();
    if (is_in_log && state.entries[snapshot.index - m_base_index - 1].term == snapshot.term) {
        const auto count = static_cast<std::ptrdiff_t>(snapshot.index - m_base_index);
        state.entries.erase(state.entries.begin(), state.entries.begin() + count);
    } else {
        state.entries.clear();
    }
    return true;
}

template <file_system FileSystem>
result<void> raft_storage<FileSystem>::write_initial_members(const raft_membership& members) {
    wire::snapshot_file file;
    set_identity(*file.mutable_identity(), m_settings);
    encode(members, *file.mutable_members());
    BOOST_OUTCOME_TRY(m_files.remove(members_new_name));
    BOOST_OUTCOME_TRY(write_frame(members_new_name, file.SerializeAsString()));
    BOOST_OUTCOME_TRY(m_files.rename(members_new_name, members_name));
    BOOST_OUTCOME_TRY(m_files.sync_folder());
    return start_segment({}, {}, {});
}

template <file_system FileSystem>
result<void> raft_storage<FileSystem>::read_snapshot(stored_state& state) {
    for (const std::string name : {members_name, snapshot_name}) {
        const auto bytes = m_files.read(name);
        if (!bytes && bytes.error() == make_error_code(storage_errc::not_found)) {
            continue;
        }
        if (!bytes) {
            return bytes.error();
        }
        const auto frame = decode_frame(bytes.value(), 0);
        wire::snapshot_file file;
        if (!frame.is_valid ||
            !file.ParseFromArray(frame.payload.data(), static_cast<int>(frame.payload.size()))) {
            m_error_location = absl::StrCat(name, " at offset 0");
            return make_error_code(storage_errc::corrupt);
        }
        m_error_location = name;
        BOOST_OUTCOME_TRY(check_identity(file.identity(), m_settings));
        if (name == members_name) {
            state.initial = decode(file.members());
        } else {
            state.snapshot = {file.index(), file.term(), decode(file.members()),
                              std::make_shared<const std::string>(std::move(*file.mutable_state()))};
        }
    }
    return boost::outcome_v2::success();
}

template <file_system FileSystem>
result<void> raft_storage<FileSystem>::read_segment(const std::string& name, bool is_last,
                                                    stored_state& state) {
    BOOST_OUTCOME_TRY(bytes, m_files.read(name));
    std::uint64_t offset = 0;
    while (offset < bytes.size()) {
        const auto frame = decode_frame(bytes, offset);
        if (!frame.is_valid) {
            if (!is_last || has_frame_after(bytes, offset)) {
                m_error_location = absl::StrCat(name, " at offset ", offset);
                return make_error_code(storage_errc::corrupt);
            }
            state.truncated_bytes = bytes.size() - offset;
            BOOST_OUTCOME_TRY(m_files.truncate(name, offset));
            BOOST_OUTCOME_TRY(m_files.sync(name));
            break;
        }
        BOOST_OUTCOME_TRY(apply_frame(name, offset, frame.payload, state));
        offset = frame.end;
    }
    return boost::outcome_v2::success();
}

template <file_system FileSystem>
result<void> raft_storage<FileSystem>::apply_frame(const std::string& name, std::uint64_t offset,
                                                   std::string_view payload, stored_state& state) {
    m_error_location = absl::StrCat(name, " at offset ", offset);
    wire::wal_frame frame;
    if (!frame.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        return make_error_code(storage_errc::corrupt);
    }
    if (frame.has_identity()) {
        BOOST_OUTCOME_TRY(check_identity(frame.identity(), m_settings));
        state.entries.clear(); // the first frame of a segment repeats the valid entries of older ones
    }
    if (frame.has_state()) {
        state.state = {frame.term(), frame.vote()};
    }
    if (frame.reset_index() != 0) {
        state.entries.clear();
        m_base_index = frame.reset_index();
        m_base_term = frame.reset_term();
    }
    if (frame.truncate_from() > m_base_index) {
        std::erase_if(state.entries,
                      [&](const log_entry& entry) { return entry.index >= frame.truncate_from(); });
    }
    for (const auto& message : frame.entries()) {
        auto entry = decode(message);
        const auto expected = m_base_index + state.entries.size() + 1;
        if (entry.index != expected) {
            return make_error_code(storage_errc::corrupt); // an index gap: a segment is missing
        }
        state.entries.push_back(std::move(entry));
    }
    m_error_location.clear();
    return boost::outcome_v2::success();
}

template <file_system FileSystem>
result<void> raft_storage<FileSystem>::write_frame(const std::string& name, std::string_view payload) {
    const auto frame = encode_frame(payload);
    BOOST_OUTCOME_TRY(m_files.append(name, frame));
    BOOST_OUTCOME_TRY(m_files.sync(name));
    m_written_bytes += frame.size();
    return boost::outcome_v2::success();
}

template <file_system FileSystem>
result<void> raft_storage<FileSystem>::save(const raft_output& output) {
    if (output.install.has_value()) {
        const auto state = output.state.value_or(hard_state{});
        BOOST_OUTCOME_TRY(write_snapshot_file(*output.install));
        // The log restarts after the snapshot. The entries of this output follow it.
        wire::wal_frame frame;
        frame.set_reset_index(output.install->index);
        frame.set_reset_term(output.install->term);
        frame.set_truncate_from(output.install->index + 1);
        if (output.state.has_value()) {
            frame.set_has_state(true);
            frame.set_term(state.term);
            frame.set_vote(state.vote);
        }
        for (const auto& entry : output.entries) {
            encode(entry, *frame.add_entries());
        }
        return write_frame(m_segment, frame.SerializeAsString());
    }
    wire::wal_frame frame;
    frame.set_truncate_from(output.truncate_from);
    if (output.state.has_value()) {
        frame.set_has_state(true);
        frame.set_term(output.state->term);
        frame.set_vote(output.state->vote);
    }
    for (const auto& entry : output.entries) {
        encode(entry, *frame.add_entries());
    }
    return write_frame(m_segment, frame.SerializeAsString());
}

template <file_system FileSystem>
result<void> raft_storage<FileSystem>::write_snapshot_file(const raft_snapshot& snapshot) {
    wire::snapshot_file file;
    set_identity(*file.mutable_identity(), m_settings);
    file.set_index(snapshot.index);
    file.set_term(snapshot.term);
    encode(snapshot.members, *file.mutable_members());
    file.set_state(snapshot.data ? *snapshot.data : std::string{});
    BOOST_OUTCOME_TRY(m_files.remove(snapshot_new_name));
    BOOST_OUTCOME_TRY(write_frame(snapshot_new_name, file.SerializeAsString()));
    BOOST_OUTCOME_TRY(m_files.rename(snapshot_new_name, snapshot_name));
    return m_files.sync_folder();
}

template <file_system FileSystem>
result<void> raft_storage<FileSystem>::save_snapshot(const raft_snapshot& snapshot, const hard_state& state,
                                                     const std::vector<log_entry>& tail) {
    BOOST_OUTCOME_TRY(write_snapshot_file(snapshot));
    BOOST_OUTCOME_TRY(start_segment(snapshot, state, tail));
    return remove_old_segments();
}

template <file_system FileSystem>
result<void> raft_storage<FileSystem>::start_segment(const raft_snapshot& snapshot, const hard_state& state,
                                                     const std::vector<log_entry>& tail) {
    // The first frame repeats all valid state of older segments, which may be removed once it is synced.
    ++m_segment_number;
    const auto name = absl::StrFormat("%s%012d", segment_prefix, m_segment_number);
    wire::wal_frame frame;
    set_identity(*frame.mutable_identity(), m_settings);
    frame.set_has_state(true);
    frame.set_term(state.term);
    frame.set_vote(state.vote);
    frame.set_reset_index(snapshot.index);
    frame.set_reset_term(snapshot.term);
    frame.set_truncate_from(snapshot.index + 1);
    for (const auto& entry : tail) {
        encode(entry, *frame.add_entries());
    }
    const auto written = write_frame(name, frame.SerializeAsString());
    if (!written) {
        // An empty last segment would make a torn frame at the end of the one before it look like corruption.
        BOOST_OUTCOME_TRY(m_files.remove(name));
        return written.error();
    }
    BOOST_OUTCOME_TRY(m_files.sync_folder());
    m_segment = name;
    return boost::outcome_v2::success();
}

template <file_system FileSystem>
result<void> raft_storage<FileSystem>::remove_old_segments() {
    BOOST_OUTCOME_TRY(names, m_files.list());
    for (const auto& name : names) {
        if (absl::StartsWith(name, segment_prefix) && name != m_segment) {
            BOOST_OUTCOME_TRY(m_files.remove(name));
        }
    }
    return m_files.sync_folder();
}

} // namespace poplarpitch
