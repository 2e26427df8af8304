#pragma once

#include "poplarpitch/consensus/raft_message.h"

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <thread>

namespace poplarpitch {

/// One-way stream of replicated-log messages to one peer, sent on a thread of its own. Messages may be lost
/// but not altered; the log repeats those that matter. The queue is bounded and drops the oldest messages
/// when it is full. After `reset` or an error the stream is replaced by one on a fresh connection, never on
/// the same gRPC subchannel. Thread safety: any thread, for all methods.
class peer_link {
public:
    /// Starts the thread. Each message carries `cluster`, so that a peer of another cluster rejects it.
    peer_link(std::string address, std::string cluster);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Queues a message.
    void send(raft_message message);
    /// Cancels the current stream, so that a later message opens a fresh connection.
    void reset();

private:
    struct stream;

    void run();
    bool open_stream();
    std::deque<raft_message> wait_for_messages();

    const std::string m_address;
    const std::string m_cluster;
    absl::Mutex m_mutex;
    std::deque<raft_message> m_queue ABSL_GUARDED_BY(m_mutex);
    std::shared_ptr<stream> m_stream ABSL_GUARDED_BY(m_mutex);
    bool m_is_stopped ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_thread;
};

} // namespace poplarpitch
