#pragma once

#include "poplarpitch/core/result.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {

/// The files of one data folder. Keeps appended files open, because opening a file costs more than the write.
/// Thread safety: none, as for all methods; one thread owns the folder.
class posix_file_system {
public:
    /// Precondition: no other object of this process uses `folder`.
    explicit posix_file_system(std::string folder);
    ~posix_file_system();
    posix_file_system(const posix_file_system&) = delete;
    posix_file_system& operator=(const posix_file_system&) = delete;

    /// Creates the folder if it is missing and locks it against other processes. Does nothing when this
    /// object already holds the lock.
    result<void> lock();
    /// Returns the names of the files, sorted, without the lock file.
    result<std::vector<std::string>> list();
    /// Returns all bytes of a file.
    result<std::string> read(const std::string& name);
    /// Appends to a file and creates it if it is missing. A failed append truncates the file to its old size.
    result<void> append(const std::string& name, std::string_view bytes);
    /// Truncates a file to `size` bytes.
    result<void> truncate(const std::string& name, std::uint64_t size);
    /// Makes the bytes of a file durable.
    result<void> sync(const std::string& name);
    /// Makes new names, renames and removals durable.
    result<void> sync_folder();
    /// Renames a file and replaces an existing file of the new name.
    result<void> rename(const std::string& from, const std::string& to);
    /// Removes a file. A missing file is not an error.
    result<void> remove(const std::string& name);

private:
    [[nodiscard]] std::string get_path(const std::string& name) const;
    result<int> open_for_append(const std::string& name);
    void close_file(const std::string& name);

    std::string m_folder;
    int m_lock = -1;                   ///< descriptor that holds the lock
    std::map<std::string, int> m_open; ///< descriptors of appended files
};

} // namespace poplarpitch
