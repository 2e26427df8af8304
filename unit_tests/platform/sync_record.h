#pragma once

#include <string>

namespace poplarpitch {

/// Tracks what the processes that the test starts have synced to disk, and removes the rest of their files as
/// a loss of power does. A kill alone loses nothing of what was written. Precondition: at most one exists at
/// a time, and it exists before the processes start. Thread safety: none.
class sync_record {
public:
    /// Creates a folder for the record in `parent`. Processes that are started from now on are tracked.
    explicit sync_record(const std::string& parent);
    ~sync_record();
    sync_record(const sync_record&) = delete;
    sync_record& operator=(const sync_record&) = delete;

    /// Removes from each file in `folder` all that was written after the last sync of the file. Returns the
    /// number of bytes. Names of files are kept, also without a sync of the folder. Precondition: no process
    /// writes there.
    [[nodiscard]] std::size_t drop_unsynced(const std::string& folder) const;

private:
    std::string m_folder;
};

} // namespace poplarpitch
