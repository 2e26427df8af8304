#include "poplarpitch/core/text_file.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

namespace poplarpitch {
namespace {

/// A path for a file of the test, removed with the object.
class temporary_file {
public:
    temporary_file() : m_path(testing::TempDir() + "text_file_" + std::to_string(::getpid())) {}
    ~temporary_file() { std::filesystem::remove_all(m_path); }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;
    [[nodiscard]] const std::string& get_path() const { return m_path; }

private:
    std::string m_path;
};

TEST(text_file, file_whose_read_fails_looks_empty) {
    EXPECT_FALSE(read_text_file("/proc/self/mem").has_value()); // opens; a read of address 0 fails
}

TEST(text_file, standard_input_whose_read_fails_looks_empty) {
    const int standard_input = ::dup(STDIN_FILENO);
    const int unreadable = ::open("/proc/self/mem", O_RDONLY | O_CLOEXEC);
    ASSERT_GE(unreadable, 0);
    ::dup2(unreadable, STDIN_FILENO);
    EXPECT_FALSE(read_text_file("-").has_value());
    ::dup2(standard_input, STDIN_FILENO);
    std::clearerr(stdin);
    ::close(unreadable);
    ::close(standard_input);
}

TEST(text_file, folder_looks_like_an_empty_file) {
    const temporary_file folder;
    std::filesystem::create_directories(folder.get_path());
    EXPECT_FALSE(read_text_file(folder.get_path()).has_value());
}

TEST(text_file, returns_all_bytes_of_a_file) {
    const temporary_file file;
    for (const std::size_t size : {0UL, 1UL, 65'536UL, 100'000UL}) {
        std::string text(size, 'a');
        text.append("\0\n", size == 0 ? 0 : 2);
        std::ofstream(file.get_path(), std::ios::binary) << text;
        EXPECT_EQ(read_text_file(file.get_path()), text);
    }
    EXPECT_FALSE(read_text_file(file.get_path() + "-missing").has_value());
}

} // namespace
} // namespace poplarpitch
