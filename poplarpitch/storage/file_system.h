#pragma once

#include "poplarpitch/core/result.h"

#include <concepts>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {

/// File operations that storage needs. File names are relative to the data folder. Daemons use the POSIX
/// implementation. The one in the tests drops unsynced bytes and fails any call on demand.
template <class T>
concept file_system = requires(T& files, const std::string& name, std::string_view bytes,
                               std::uint64_t size) {
    { files.lock() } -> std::same_as<result<void>>;
    { files.list() } -> std::same_as<result<std::vector<std::string>>>;
    { files.read(name) } -> std::same_as<result<std::string>>;
    { files.append(name, bytes) } -> std::same_as<result<void>>;
    { files.truncate(name, size) } -> std::same_as<result<void>>;
    { files.sync(name) } -> std::same_as<result<void>>;
    { files.sync_folder() } -> std::same_as<result<void>>;
    { files.rename(name, name) } -> std::same_as<result<void>>;
    { files.remove(name) } -> std::same_as<result<void>>;
};

} // namespace poplarpitch
