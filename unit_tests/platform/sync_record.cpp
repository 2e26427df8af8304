#include "unit_tests/platform/sync_record.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace poplarpitch {
namespace {

/// Returns the recorded size, or 0 for a file that was never synced.
std::uintmax_t read_synced_size(const std::string& record) {
    std::int64_t size = 0;
    std::ifstream(record, std::ios::binary).read(reinterpret_cast<char*>(&size), sizeof(size));
    return static_cast<std::uintmax_t>(size);
}

} // namespace

sync_record::sync_record(const std::string& parent)
    : m_folder(absl::StrCat(parent, "/poplarpitch-synced-", ::getpid())) {
    std::filesystem::create_directories(m_folder);
    ::setenv("LD_PRELOAD", POPLARPITCH_SYNCED_SIZES_LIBRARY, 1);
    ::setenv("POPLARPITCH_SYNCED_SIZES", m_folder.c_str(), 1);
}

sync_record::~sync_record() {
    ::unsetenv("LD_PRELOAD");
    ::unsetenv("POPLARPITCH_SYNCED_SIZES");
    std::error_code ignored; // a folder that could not be removed does no harm
    std::filesystem::remove_all(m_folder, ignored);
}

std::size_t sync_record::drop_unsynced(const std::string& folder) const {
    std::size_t dropped = 0;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        struct stat status {};
        EXPECT_EQ(::stat(entry.path().c_str(), &status), 0) << entry.path();
        const auto synced = read_synced_size(absl::StrCat(m_folder, "/", status.st_ino));
        if (entry.is_regular_file() && entry.file_size() > synced) {
            dropped += entry.file_size() - synced;
            std::filesystem::resize_file(entry.path(), synced);
        }
    }
    return dropped;
}

} // namespace poplarpitch
