#pragma once

#include <string>

namespace poplarpitch {

struct daemon_settings;

/// Restores a backup into the blank data folder of an initial voter. Returns the exit code of the process: 0,
/// or 1 with the reason in the log. Must be run for each initial voter with the same file before any of them
/// starts. The old data folders must have been removed. Thread safety: none.
int restore_data_folder(const daemon_settings& settings, const std::string& backup_file);

} // namespace poplarpitch
