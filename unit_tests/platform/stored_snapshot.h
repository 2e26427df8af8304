#pragma once

#include <string>

namespace poplarpitch {

/// Replaces the state in the data folder of a scheduler by a snapshot with these bytes, and fails the test
/// when it cannot. Precondition: the scheduler has run and does not run any more. Thread safety: none.
void write_snapshot(const std::string& folder, const std::string& bytes);

} // namespace poplarpitch
