#pragma once

#include <gtest/gtest.h>

#include <unistd.h>

#include <filesystem>
#include <string>

namespace poplarpitch {

/// A temporary folder, removed with the object. Precondition: no other object has the same name.
class temporary_folder {
public:
    explicit temporary_folder(const std::string& name)
        : m_path(testing::TempDir() + name + "_" + std::to_string(::getpid())) {
        std::filesystem::create_directories(m_path);
    }
    ~temporary_folder() { std::filesystem::remove_all(m_path); }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    [[nodiscard]] const std::string& get_path() const { return m_path; }

private:
    std::string m_path;
};

} // namespace poplarpitch
