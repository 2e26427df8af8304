#pragma once

#include "poplarpitch/core/time.h"

#include <absl/synchronization/mutex.h>

#include <cstdio>
#include <string>

namespace poplarpitch {

/// A file of what really ran, a line for each start and end, so that promises can be checked against it
/// afterwards, also when the process was killed. Times are of the boot clock, which all processes of one
/// instance share. Thread safety: any thread, for all methods.
class run_record {
public:
    /// An empty `file` records nothing.
    explicit run_record(const std::string& file);
    ~run_record();
    run_record(const run_record&) = delete;
    run_record& operator=(const run_record&) = delete;

    /// Writes `kind worker id detail time_us`, blank-separated; blanks inside become underscores.
    void write(const std::string& kind, const std::string& worker, const std::string& id,
               const std::string& detail);

private:
    absl::Mutex m_mutex;
    std::FILE* m_file ABSL_GUARDED_BY(m_mutex) = nullptr;
};

} // namespace poplarpitch
