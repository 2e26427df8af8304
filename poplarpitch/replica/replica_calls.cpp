// Requests to the log: proposals, reads and resigning. All are deferred while a save is in progress.
#include "poplarpitch/replica/replica.h"

#include "poplarpitch/net/event_loop.h"

#include <utility>

namespace poplarpitch {

void replica::run_after_sync(std::function<void()> work) {
    if (is_saving()) {
        m_deferred.push_back(std::move(work));
    } else {
        work();
    }
}

void replica::run_deferred() {
    const auto deferred = std::exchange(m_deferred, {});
    m_deferred_messages = 0;
    for (const auto& work : deferred) {
        work();
    }
}

void replica::propose(std::string payload, std::function<void(proposal_result)> on_result) {
    run_after_sync([this, payload = std::move(payload), on_result = std::move(on_result)]() mutable {
        propose_now(std::move(payload), std::move(on_result));
    });
}

void replica::propose_now(std::string payload, std::function<void(proposal_result)> on_result) {
    if (m_node == nullptr || !m_is_leading) {
        on_result(proposal_result::refused);
        return;
    }
    const auto index = m_node->propose(std::move(payload), m_loop.now());
    if (!index) {
        on_result(proposal_result::refused);
        return;
    }
    m_proposals.emplace(index.value(), pending_proposal{m_node->get_term(), std::move(on_result)});
}

void replica::read(std::function<void(bool)> on_ready) {
    run_after_sync([this, on_ready = std::move(on_ready)]() mutable { read_now(std::move(on_ready)); });
}

void replica::read_now(std::function<void(bool)> on_ready) {
    if (m_node == nullptr || !m_is_leading) {
        on_ready(false);
        return;
    }
    const auto token = m_node->request_read(m_loop.now());
    if (!token) {
        on_ready(false);
        return;
    }
    m_reads.emplace(token.value(), std::move(on_ready));
}

void replica::resign() {
    run_after_sync([this] {
        if (m_node != nullptr && m_node->get_role() == raft_role::leader) {
            static_cast<void>(
                m_node->transfer_leadership(0, m_loop.now())); // if it fails, an election follows
        }
    });
}

} // namespace poplarpitch
