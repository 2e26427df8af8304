#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// Writes what was sent, answered and run, with the milliseconds since the start. Thread safety: any thread.
class record {
public:
    explicit record(const std::string& file) : m_file(file), m_start(std::chrono::steady_clock::now()) {}

    /// Appends a line.
    void add(const std::string& line) {
        const std::lock_guard lock(m_mutex);
        const auto passed =
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_start)
                .count();
        m_file << passed << " ms: " << line << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_start;
};

} // namespace review
