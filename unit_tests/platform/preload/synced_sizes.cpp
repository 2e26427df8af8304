// Loaded into a process under test by LD_PRELOAD. Records how much of each file the process has synced, so
// that a test can remove the rest after it has killed the process, as a loss of power does. The size is kept
// in a file named after the inode in the folder POPLARPITCH_SYNCED_SIZES, since files are renamed. A sync
// takes as long as on the users' disks, also in memory, so that power is lost during syncs, too.
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace {

using sync_call = int (*)(int);
using truncate_call = int (*)(int, off_t);

constexpr useconds_t sync_time = 6000; // microseconds; measured on the users' disks

/// Opens the record of a file, or returns -1 when there is none to be kept.
int open_record(const struct stat& file) {
    const char* folder = std::getenv("POPLARPITCH_SYNCED_SIZES");
    if (folder == nullptr || !S_ISREG(file.st_mode)) {
        return -1;
    }
    char path[4096];
    const int length =
        std::snprintf(path, sizeof(path), "%s/%llu", folder, static_cast<unsigned long long>(file.st_ino));
    if (length < 0 || static_cast<std::size_t>(length) >= sizeof(path)) {
        return -1;
    }
    return ::open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0644);
}

void write_size(int record, std::int64_t size) {
    if (::pwrite(record, &size, sizeof(size), 0) != sizeof(size)) {
        std::abort(); // the test would otherwise remove what is synced
    }
    ::close(record);
}

/// Syncs a file and records the size that it had before.
int sync_and_record(int descriptor, sync_call sync) {
    struct stat before {};
    const bool has_size = ::fstat(descriptor, &before) == 0;
    ::usleep(sync_time);
    const int status = sync(descriptor);
    if (status == 0 && has_size) {
        if (const int record = open_record(before); record >= 0) {
            write_size(record, before.st_size);
        }
    }
    return status;
}

template <class Call>
Call find_next(const char* name) {
    return reinterpret_cast<Call>(::dlsym(RTLD_NEXT, name));
}

} // namespace

extern "C" int fdatasync(int descriptor) {
    static const auto next = find_next<sync_call>("fdatasync");
    return sync_and_record(descriptor, next);
}

extern "C" int fsync(int descriptor) {
    static const auto next = find_next<sync_call>("fsync");
    return sync_and_record(descriptor, next);
}

/// What follows the new end is no longer synced, also when the file grows again.
extern "C" int ftruncate(int descriptor, off_t size) noexcept {
    static const auto next = find_next<truncate_call>("ftruncate");
    const int status = next(descriptor, size);
    struct stat after {};
    if (status == 0 && ::fstat(descriptor, &after) == 0) {
        std::int64_t synced = 0;
        const int record = open_record(after);
        if (record >= 0 && ::pread(record, &synced, sizeof(synced), 0) == sizeof(synced) && synced > size) {
            write_size(record, size);
        } else if (record >= 0) {
            ::close(record);
        }
    }
    return status;
}
