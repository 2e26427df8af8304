#pragma once

#include "poplarpitch/consensus/raft_output.h"
#include "poplarpitch/core/result.h"
#include "poplarpitch/storage/file_system.h"
#include "poplarpitch/storage/posix_file_system.h"
#include "poplarpitch/storage/storage_settings.h"
#include "poplarpitch/storage/stored_state.h"

#include <string>

namespace poplarpitch {

/// The durable side of one node: a write-ahead log in segments, and the newest snapshot.
///
/// Each call of `save` writes one frame and syncs once (group commit): whatever the driver collected shares
/// one sync. Only the last frame of the last segment can therefore be torn; it is cut off at open, since
/// nothing in it was acknowledged. A bad frame anywhere else is corruption and refused with its file and
/// offset. A snapshot is written beside the old one, synced and renamed; a new segment starts with it and
/// older segments go. After any error the object must not be used again: the state of the disk is not known.
/// Thread safety: none, as for all methods.
template <file_system FileSystem>
class raft_storage {
public:
    /// Precondition: `files` outlives the storage.
    raft_storage(FileSystem& files, const storage_settings& settings);

    /// Locks the folder and reads it.
    result<stored_state> open();
    /// Writes the founding members; from then on the folder is not blank. Precondition: `open` found it
    /// blank.
    result<void> form(const raft_membership& members);
    /// Makes what `output` asks for durable. Precondition: `open` succeeded.
    result<void> save(const raft_output& output);
    /// Stores a snapshot and starts a new segment with `rest`, the entries behind it.
    result<void> save_snapshot(const raft_snapshot& snapshot, const hard_state& state,
                               const std::vector<log_entry>& tail);

    /// Returns where the last error was found: file and offset, for logs.
    [[nodiscard]] const std::string& get_error_place() const { return m_error_place; }
    /// Returns the bytes of the present segment.
    [[nodiscard]] std::uint64_t get_segment_bytes() const { return m_segment_bytes; }
    /// Returns the bytes written since open.
    [[nodiscard]] std::uint64_t get_written_bytes() const { return m_written_bytes; }

private:
    result<void> read_snapshot(stored_state& state);
    /// Cuts the log to what follows the snapshot. Returns true when a new segment must say so on disk.
    bool trim_log_to_snapshot(stored_state& state);
    result<void> read_segment(const std::string& name, bool is_last, stored_state& state);
    result<void> apply_frame(const std::string& name, std::uint64_t offset, std::string_view payload,
                             stored_state& state);
    result<void> start_segment(const raft_snapshot& snapshot, const hard_state& state,
                               const std::vector<log_entry>& tail);
    result<void> write_frame(const std::string& name, std::string_view payload);
    result<void> write_snapshot_file(const raft_snapshot& snapshot);
    result<void> remove_old_segments();

    FileSystem& m_files;
    storage_settings m_settings;
    std::string m_segment; ///< name of the segment being written
    std::uint64_t m_segment_number = 0;
    std::uint64_t m_segment_bytes = 0;
    std::uint64_t m_written_bytes = 0;
    log_index m_base_index = 0; ///< while reading: the log's entries start behind this
    log_term m_base_term = 0;
    std::string m_error_place;
};

} // namespace poplarpitch
