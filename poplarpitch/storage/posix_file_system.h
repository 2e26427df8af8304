#pragma once

#include "poplarpitch/core/result.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {

/// The files of one data folder. Keeps appended files open, since opening costs more than the write.
/// Thread safety: none, as for all methods; one thread owns the folder.
class posix_file_system {
public:
    /// Precondition: no other object of this process uses `folder`.
    explicit posix_file_system(std::string folder);
    ~posix_file_system();
    posix_file_system(const posix_file_system&) = delete;
    posix_file_system& operator=(const posix_file_system&) = delete;

    /// Makes the folder where it is missing and locks it against other processes. Locked already, it does
    /// nothing.
    result<void> lock();
    /// Returns the names of the files, sorted.
    result<std::vector<std::string>> list();
    /// Returns all bytes of a file.
    result<std::string> read(const std::string& name);
    /// Appends to a file, making it where it is missing. On a failure the file is cut back to its old size.
    result<void> append(const std::string& name, std::string_view bytes);
    /// Cuts a file to `size` bytes.
    result<void> truncate(const std::string& name, std::uint64_t size);
    /// Makes the bytes of a file durable.
    result<void> sync(const std::string& name);
    /// Makes names, renames and removals durable.
    result<void> sync_folder();
    /// Gives a file another name, replacing what stood there.
    result<void> rename(const std::string& from, const std::string& to);
    /// Removes a file; one that is missing is no error.
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
