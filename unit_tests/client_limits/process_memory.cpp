#include "unit_tests/support/process_memory.h"

#include "poplarpitch/net/socket_address.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <arpa/inet.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace poplarpitch {
namespace {

/// Converts an address and port as /proc/PID/net/tcp has them: the address as it lies in memory.
std::string read_local_address(const std::string& column) {
    const std::vector<std::string> parts = absl::StrSplit(column, ':');
    std::uint64_t address = 0;
    std::uint64_t port = 0;
    if (parts.size() != 2 || !absl::SimpleHexAtoi(parts[0], &address) ||
        !absl::SimpleHexAtoi(parts[1], &port)) {
        return {};
    }
    return format_address({ntohl(static_cast<std::uint32_t>(address)), static_cast<std::uint16_t>(port)});
}

} // namespace

void process_memory::sample() {
    m_peak = std::max(m_peak, read_resident() + read_unread());
}

std::size_t process_memory::read_resident() const {
    std::ifstream file(absl::StrCat("/proc/", m_pid, "/statm"));
    std::size_t all_pages = 0;
    std::size_t resident_pages = 0;
    file >> all_pages >> resident_pages;
    return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/// Adds up the receive queues of /proc/PID/net/tcp. Its columns: number, local address and port, remote ones,
/// state, send queue and receive queue, all in hexadecimal.
std::size_t process_memory::read_unread() const {
    constexpr std::size_t local_column = 1;
    constexpr std::size_t state_column = 3;
    constexpr std::size_t queues_column = 4;
    constexpr const char* listening = "0A"; // the queue of such a socket counts connections
    std::ifstream file(absl::StrCat("/proc/", m_pid, "/net/tcp"));
    std::string line;
    std::getline(file, line); // the heading
    std::size_t unread = 0;
    while (std::getline(file, line)) {
        const std::vector<std::string> columns = absl::StrSplit(line, ' ', absl::SkipEmpty());
        if (columns.size() <= queues_column || columns[state_column] == listening) {
            continue;
        }
        const std::vector<std::string> queues = absl::StrSplit(columns[queues_column], ':');
        std::uint64_t bytes = 0;
        const bool is_own = std::find(m_addresses.begin(), m_addresses.end(),
                                      read_local_address(columns[local_column])) != m_addresses.end();
        if (is_own && queues.size() == 2 && absl::SimpleHexAtoi(queues[1], &bytes)) {
            unread += bytes;
        }
    }
    return unread;
}

std::size_t process_memory::count_descriptors() const {
    const std::filesystem::directory_iterator files(absl::StrCat("/proc/", m_pid, "/fd"));
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

} // namespace poplarpitch
