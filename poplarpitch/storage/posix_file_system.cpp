#include "poplarpitch/storage/posix_file_system.h"

#include "poplarpitch/storage/storage_error.h"

#include <cerrno>
#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr int folder_mode = 0750;
constexpr int file_mode = 0640;
constexpr std::size_t read_size = 1 << 20;

std::error_code make_errno_error() {
    if (errno == ENOSPC || errno == EDQUOT) {
        return make_error_code(storage_errc::no_space);
    }
    if (errno == ENOENT) {
        return make_error_code(storage_errc::not_found);
    }
    return make_error_code(storage_errc::io_failed);
}

} // namespace

posix_file_system::posix_file_system(std::string folder) : m_folder(std::move(folder)) {}

posix_file_system::~posix_file_system() {
    for (const auto& [name, descriptor] : m_open) {
        ::close(descriptor);
    }
    if (m_lock >= 0) {
        ::close(m_lock);
    }
}

std::string posix_file_system::get_path(const std::string& name) const {
    return m_folder + "/" + name;
}

result<void> posix_file_system::lock() {
    if (m_lock >= 0) {
        return boost::outcome_v2::success(); // a second lock would conflict with the first
    }
    if (::mkdir(m_folder.c_str(), folder_mode) != 0 && errno != EEXIST) {
        return make_error_code(storage_errc::folder_missing);
    }
    const int descriptor = ::open(get_path("lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode);
    if (descriptor < 0) {
        return make_error_code(storage_errc::folder_missing);
    }
    if (::flock(descriptor, LOCK_EX | LOCK_NB) != 0) {
        ::close(descriptor);
        return make_error_code(storage_errc::folder_locked);
    }
    m_lock = descriptor;
    return boost::outcome_v2::success();
}

result<std::vector<std::string>> posix_file_system::list() {
    DIR* folder = ::opendir(m_folder.c_str());
    if (folder == nullptr) {
        return make_errno_error();
    }
    std::vector<std::string> names;
    while (const dirent* item = ::readdir(folder)) { // NOLINT(concurrency-mt-unsafe): own stream
        const std::string name = item->d_name;
        if (name != "." && name != ".." && name != "lock") {
            names.push_back(name);
        }
    }
    ::closedir(folder);
    std::sort(names.begin(), names.end());
    return names;
}

result<std::string> posix_file_system::read(const std::string& name) {
    const int descriptor = ::open(get_path(name).c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) {
        return make_errno_error();
    }
    std::string bytes;
    while (true) {
        const auto old_size = bytes.size();
        bytes.resize(old_size + read_size);
        const auto count = ::read(descriptor, bytes.data() + old_size, read_size);
        bytes.resize(old_size + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        if (count < 0 && errno != EINTR) {
            const auto error = make_errno_error();
            ::close(descriptor);
            return error;
        }
        if (count == 0) {
            break;
        }
    }
    ::close(descriptor);
    return bytes;
}

result<int> posix_file_system::open_for_append(const std::string& name) {
    const auto found = m_open.find(name);
    if (found != m_open.end()) {
        return found->second;
    }
    const int descriptor =
        ::open(get_path(name).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, file_mode);
    if (descriptor < 0) {
        return make_errno_error();
    }
    m_open.emplace(name, descriptor);
    return descriptor;
}

void posix_file_system::close_file(const std::string& name) {
    const auto found = m_open.find(name);
    if (found != m_open.end()) {
        ::close(found->second);
        m_open.erase(found);
    }
}

result<void> posix_file_system::append(const std::string& name, std::string_view bytes) {
    BOOST_OUTCOME_TRY(descriptor, open_for_append(name));
    struct stat before {};
    if (::fstat(descriptor, &before) != 0) {
        return make_errno_error();
    }
    std::size_t written = 0;
    while (written < bytes.size()) {
        const auto count = ::write(descriptor, bytes.data() + written, bytes.size() - written);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            const auto error = make_errno_error();
            // A partial record must not precede the next one.
            if (::ftruncate(descriptor, before.st_size) != 0) {
                return make_error_code(storage_errc::sync_failed);
            }
            return error;
        }
        written += static_cast<std::size_t>(count);
    }
    return boost::outcome_v2::success();
}

result<void> posix_file_system::truncate(const std::string& name, std::uint64_t size) {
    BOOST_OUTCOME_TRY(descriptor, open_for_append(name));
    if (::ftruncate(descriptor, static_cast<off_t>(size)) != 0) {
        return make_errno_error();
    }
    return boost::outcome_v2::success();
}

result<void> posix_file_system::sync(const std::string& name) {
    BOOST_OUTCOME_TRY(descriptor, open_for_append(name));
    if (::fdatasync(descriptor) != 0) {
        return make_error_code(storage_errc::sync_failed);
    }
    return boost::outcome_v2::success();
}

result<void> posix_file_system::sync_folder() {
    const int descriptor = ::open(m_folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) {
        return make_errno_error();
    }
    const int status = ::fsync(descriptor);
    ::close(descriptor);
    if (status != 0) {
        return make_error_code(storage_errc::sync_failed);
    }
    return boost::outcome_v2::success();
}

result<void> posix_file_system::rename(const std::string& from, const std::string& to) {
    close_file(from);
    close_file(to);
    if (::rename(get_path(from).c_str(), get_path(to).c_str()) != 0) {
        return make_errno_error();
    }
    return boost::outcome_v2::success();
}

result<void> posix_file_system::remove(const std::string& name) {
    close_file(name);
    if (::unlink(get_path(name).c_str()) != 0 && errno != ENOENT) {
        return make_errno_error();
    }
    return boost::outcome_v2::success();
}

} // namespace poplarpitch
