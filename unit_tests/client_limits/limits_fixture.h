#pragma once

#include "unit_tests/platform/scheduler_cluster.h"
#include "unit_tests/support/client_crowd.h"
#include "unit_tests/support/process_memory.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace poplarpitch {

constexpr std::size_t entry_memory_bytes = 160'000'000;     ///< of the smallest entry instance
constexpr std::size_t scheduler_memory_bytes = 256'000'000; ///< of the smallest scheduler
constexpr std::size_t entry_descriptors = 3900;             ///< 4,100 without those reserved for files
constexpr std::size_t scheduler_descriptors = 3896;         ///< 4,096 without those reserved for files

/// One scheduler and one entry instance as real processes, with their memory under watch, for crowds of
/// clients that keep to no limit. Thread safety: none.
class client_limits : public testing::Test {
protected:
    void SetUp() override;

    /// Sends what each of `connections` clients sends to `address`. Expects of both processes that they live,
    /// stay within the memory of the smallest machine of their role, and answer an ordinary caller beside the
    /// crowd and after it.
    void expect_held(const std::string& address, int connections, const crowd_message& message);
    /// As above; `make_message` returns what the connection of that number sends.
    void expect_held(const std::string& address, int connections,
                     const std::function<crowd_message(int)>& make_message);
    /// Expects that both processes live and have stayed within their memory.
    void expect_bounds() const;
    /// Looks at the memory of both processes.
    void sample();
    /// Returns true when an ordinary caller gets the state of its job in one of `tries` requests.
    bool is_caller_answered(int tries);
    [[nodiscard]] std::string get_control_address() const;

    const std::string m_job = "00000000000000aa"; ///< of the ordinary caller
    std::unique_ptr<scheduler_cluster> m_cluster;
    std::unique_ptr<process_memory> m_entry;
    std::unique_ptr<process_memory> m_scheduler;
};

} // namespace poplarpitch
