#include "unit_tests/support/child_process.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace poplarpitch {

child_process::child_process(const std::vector<std::string>& arguments, std::string log)
    : m_log(std::move(log)) {
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (const auto& argument : arguments) {
        argv.push_back(const_cast<char*>(argument.c_str()));
    }
    argv.push_back(nullptr);
    const int file = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    m_pid = ::fork();
    if (m_pid == 0) {
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        // Otherwise the daemon would keep the test's own sockets open.
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        ::execv(argv[0], argv.data());
        ::_exit(127);
    }
    ::close(file);
}

child_process::~child_process() {
    kill();
}

void child_process::send(int signal) const {
    if (m_pid > 0) {
        ::kill(m_pid, signal);
    }
}

int child_process::wait() {
    if (m_pid <= 0) {
        return -1;
    }
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

void child_process::kill() {
    if (m_pid > 0) {
        send(SIGCONT);
        send(SIGKILL);
        wait();
    }
}

std::string child_process::read_log() const {
    std::ostringstream text;
    text << std::ifstream(m_log).rdbuf();
    return text.str();
}

} // namespace poplarpitch
