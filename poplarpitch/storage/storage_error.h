#pragma once

#include <system_error>

namespace poplarpitch {

/// Errors of reading or writing the data folder.
enum class storage_errc {
    no_space = 1,   ///< the disk is full; nothing was acknowledged
    sync_failed,    ///< a sync failed; the state on disk is unknown, so the process must exit
    corrupt,        ///< a record in the middle of a file does not match its checksum
    other_cluster,  ///< the folder belongs to another cluster
    other_node,     ///< the folder belongs to another node
    folder_missing, ///< the data folder does not exist and cannot be created
    folder_locked,  ///< another process uses the folder
    unknown_format, ///< written by a newer version
    io_failed,      ///< any other failure of the file system
    not_found,      ///< the file does not exist
};

/// Returns the error category of storage. Thread safety: any thread.
[[nodiscard]] const std::error_category& get_storage_category() noexcept;

/// Makes a `std::error_code`. Thread safety: any thread.
[[nodiscard]] std::error_code make_error_code(storage_errc code) noexcept;

} // namespace poplarpitch

template <>
struct std::is_error_code_enum<poplarpitch::storage_errc> : std::true_type {};
