#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace poplarpitch {

/// A daemon under test, started by the test and ended by pid. Its log goes to a file.
class child_process {
public:
    child_process(const std::vector<std::string>& arguments, std::string log);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Sends a signal.
    void send(int signal) const;
    /// Waits for its end and returns the exit code, or the negative signal that ended it.
    int wait();
    /// Sends SIGKILL and waits.
    void kill();
    [[nodiscard]] bool is_alive() const { return m_pid > 0; }
    [[nodiscard]] pid_t get_pid() const { return m_pid; }
    /// Returns its log as far as it was written.
    [[nodiscard]] std::string read_log() const;

private:
    pid_t m_pid = -1;
    std::string m_log;
};

} // namespace poplarpitch
