// A process that ends because of a storage failure must log it first.
#include "poplarpitch/telemetry/logging.h"
#include "poplarpitch/telemetry/storage_failure.h"

#include <gtest/gtest.h>
#include <unistd.h>

namespace poplarpitch {
namespace {

TEST(storage_failure, writes_its_line_before_the_process_ends) {
    constexpr int documented_code = 3;
    EXPECT_EXIT(
        {
            ::dup2(STDERR_FILENO, STDOUT_FILENO); // EXPECT_EXIT matches standard error
            start_ring_logging("info");
            exit_on_storage_failure(std::make_error_code(std::errc::too_many_files_open), "segment");
        },
        testing::ExitedWithCode(documented_code), "event=storage_failed .*place=segment");
}

} // namespace
} // namespace poplarpitch
