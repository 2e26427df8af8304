#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace poplarpitch {

/// A process under test. The constructor starts it, and the destructor kills it by its pid. Its standard
/// output and error are appended to the file `log`.
class child_process {
public:
    child_process(const std::vector<std::string>& arguments, std::string log);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Sends a signal to the process while it is alive.
    void send(int signal) const;
    /// Waits until the process ends. Returns its exit code, the negated signal that ended it, or -1 when it
    /// was not running.
    int wait();
    /// Sends SIGKILL and waits for the end.
    void kill();
    /// Returns true until `wait` or `kill` has returned.
    [[nodiscard]] bool is_alive() const { return m_pid > 0; }
    [[nodiscard]] pid_t get_pid() const { return m_pid; }
    /// Returns what the log contains so far.
    [[nodiscard]] std::string read_log() const;

private:
    pid_t m_pid = -1;
    std::string m_log;
};

} // namespace poplarpitch
