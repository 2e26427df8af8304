#pragma once

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <string>

namespace poplarpitch {

/// A data folder that is removed at the end. Thread safety: none.
class temporary_folder {
public:
    temporary_folder() {
        std::string path = ::testing::TempDir() + "poplarpitch-XXXXXX";
        if (::mkdtemp(path.data()) != nullptr) {
            m_path = path;
        }
    }
    ~temporary_folder() { std::filesystem::remove_all(m_path); }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    [[nodiscard]] const std::string& get_path() const { return m_path; }

private:
    std::string m_path;
};

} // namespace poplarpitch
