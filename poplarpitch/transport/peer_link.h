#pragma once

#include "poplarpitch/consensus/raft_message.h"

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <thread>

namespace poplarpitch {

/// One-way stream of replicated-log messages to one peer, on a thread of its own. Messages may be lost, never
/// changed: the log sends again what matters. The queue is bounded; when it is full the oldest go. A stream
/// that has gone silent is replaced by one on a fresh connection, never on the same gRPC subchannel. Thread
/// safety: any thread, for all methods.
class peer_link {
public:
    /// Starts the thread. `cluster` is sent along, so that a peer of another cluster drops the messages.
    peer_link(std::string address, std::string cluster);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Queues a message.
    void send(raft_message message);
    /// Breaks the present stream, so that the next message opens a fresh connection.
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
