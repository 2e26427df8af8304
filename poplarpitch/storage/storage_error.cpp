#include "poplarpitch/storage/storage_error.h"

#include <string>

namespace poplarpitch {
namespace {

class storage_category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "storage"; }

    [[nodiscard]] std::string message(int code) const override {
        switch (static_cast<storage_errc>(code)) {
        case storage_errc::no_space:
            return "the disk is full";
        case storage_errc::sync_failed:
            return "syncing to disk failed";
        case storage_errc::corrupt:
            return "a stored record is corrupt";
        case storage_errc::other_cluster:
            return "the data folder belongs to another cluster";
        case storage_errc::other_node:
            return "the data folder belongs to another node";
        case storage_errc::folder_missing:
            return "the data folder does not exist and cannot be created";
        case storage_errc::folder_locked:
            return "another process uses the data folder";
        case storage_errc::unknown_format:
            return "the data folder was written by a newer version";
        case storage_errc::io_failed:
            return "the file system reported an error";
        case storage_errc::not_found:
            return "the file does not exist";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category& get_storage_category() noexcept {
    static const storage_category category;
    return category;
}

std::error_code make_error_code(storage_errc code) noexcept {
    return {static_cast<int>(code), get_storage_category()};
}

} // namespace poplarpitch
