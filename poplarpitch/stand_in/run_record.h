#pragma once

#include "poplarpitch/core/time.h"

#include <absl/synchronization/mutex.h>

#include <cstdio>
#include <string>

namespace poplarpitch {

/// Records what a worker ran in a file, with one line for each start and end. The record survives a kill of
/// the process and is used to check the system's promises afterwards. Times are those of the boot clock,
/// which all processes of one instance share. Thread safety: any thread, for all methods.
class run_record {
public:
    /// Appends to `file`. Records nothing when `file` is empty.
    explicit run_record(const std::string& file);
    ~run_record();
    run_record(const run_record&) = delete;
    run_record& operator=(const run_record&) = delete;

    /// Writes the line `kind worker id detail time_us`. Blanks inside `id` and `detail` become underscores.
    void write(const std::string& kind, const std::string& worker, const std::string& id,
               const std::string& detail);

private:
    absl::Mutex m_mutex;
    std::FILE* m_file ABSL_GUARDED_BY(m_mutex) = nullptr;
};

} // namespace poplarpitch
