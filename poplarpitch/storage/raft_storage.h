#pragma once

#include "poplarpitch/consensus/raft_output.h"
#include "poplarpitch/core/result.h"
#include "poplarpitch/storage/file_system.h"
#include "poplarpitch/storage/posix_file_system.h"
#include "poplarpitch/storage/storage_settings.h"
#include "poplarpitch/storage/stored_state.h"

#include <string>

namespace poplarpitch {

/// Durable storage of one node: a segmented write-ahead log and the newest snapshot.
///
/// Each call of `save` writes one frame and syncs once (group commit), so everything that the driver
/// collected shares one sync. Therefore only the last frame of the last segment can be torn. `open` truncates
/// it, because nothing in it was acknowledged. An invalid frame anywhere else is corruption, which is
/// reported with its file and offset. A snapshot is written to a new file, synced and renamed over the old
/// one. A new segment then starts with it, and older segments are removed. A call that failed with `no_space`
/// can be repeated. After any other error the object must not be used again, because the state of the disk is
/// unknown. Thread safety: none, as for all methods.
template <file_system FileSystem>
class raft_storage {
public:
    /// Precondition: `files` outlives this object.
    raft_storage(FileSystem& files, const storage_settings& settings);

    /// Locks the data folder and reads its contents.
    result<stored_state> open();
    /// Writes the initial members, so that the folder is no longer empty. Precondition: `open` found it
    /// empty.
    result<void> write_initial_members(const raft_membership& members);
    /// Makes the state in `output` durable. Precondition: `open` succeeded.
    result<void> save(const raft_output& output);
    /// Stores a snapshot and starts a new segment with `tail`, the entries after the snapshot.
    result<void> save_snapshot(const raft_snapshot& snapshot, const hard_state& state,
                               const std::vector<log_entry>& tail);

    /// Returns the file and offset of the last error, for logs.
    [[nodiscard]] const std::string& get_error_location() const { return m_error_location; }
    /// Returns the number of bytes written since `open`.
    [[nodiscard]] std::uint64_t get_written_bytes() const { return m_written_bytes; }

private:
    result<void> read_snapshot(stored_state& state);
    /// Removes log entries that do not follow the snapshot. Returns true if a new segment must record that.
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
    std::string m_segment; ///< name of the current segment
    std::uint64_t m_segment_number = 0;
    std::uint64_t m_written_bytes = 0;
    log_index m_base_index = 0; ///< while reading: index before the first entry
    log_term m_base_term = 0;
    std::string m_error_location;
};

} // namespace poplarpitch
