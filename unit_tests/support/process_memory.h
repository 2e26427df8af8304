#pragma once

#include <cstddef>
#include <string>
#include <sys/types.h>
#include <utility>
#include <vector>

namespace poplarpitch {

/// The memory that a process uses as its machine counts it: resident pages, and the bytes that have arrived
/// at its sockets and are not read yet. Remembers the peak of what it has seen. Thread safety: none, for all
/// methods.
class process_memory {
public:
    /// Watches the process. `addresses`: IPv4 addresses and ports at which it accepts connections.
    process_memory(pid_t pid, std::vector<std::string> addresses)
        : m_pid(pid), m_addresses(std::move(addresses)) {}

    /// Looks at the process now.
    void sample();
    /// Returns the highest total of all samples, in bytes.
    [[nodiscard]] std::size_t get_peak() const { return m_peak; }
    /// Returns the number of descriptors that the process has open.
    [[nodiscard]] std::size_t count_descriptors() const;

private:
    [[nodiscard]] std::size_t read_resident() const;
    [[nodiscard]] std::size_t read_unread() const;

    pid_t m_pid;
    std::vector<std::string> m_addresses;
    std::size_t m_peak = 0;
};

} // namespace poplarpitch
