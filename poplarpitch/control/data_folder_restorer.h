#pragma once

#include <string>

namespace poplarpitch {

struct daemon_settings;

/// Writes a backup into the blank data folder of a founding control instance, and returns the exit code of
/// the process: 0, or 1 with the reason in the log. To be run for each founder with the same file before any
/// of them starts; the old data folders must be gone. Thread safety: none.
int restore_data_folder(const daemon_settings& settings, const std::string& backup_file);

} // namespace poplarpitch
