#include "unit_tests/support/raft_harness.h"

#include "poplarpitch/consensus/early_messages.h"
#include "poplarpitch/core/hash.h"

#include <algorithm>
#include <iterator>

namespace poplarpitch {

raft_harness::raft_harness(const harness_settings& settings, std::uint64_t seed)
    : m_settings(settings), m_random(seed) {
    raft_membership initial_voters;
    for (int id = 1; id <= settings.nodes; ++id) {
        initial_voters = initial_voters.with_voter(static_cast<node_id>(id));
    }
    for (int id = 1; id <= settings.nodes + settings.spares; ++id) {
        auto& self = m_slots[static_cast<node_id>(id)];
        self.rate = settings.has_drift ? 0.95 + 0.001 * pick(100) : 1.0;
        if (id <= settings.nodes) {
            self.stored.initial = initial_voters;
        }
        start(static_cast<node_id>(id));
    }
}

void raft_harness::fail(const std::string& text) {
    if (m_violation.empty()) {
        m_violation = text;
    }
}

time_point raft_harness::get_local_time(const slot& self) const {
    return time_point{duration{static_cast<std::int64_t>(static_cast<double>(m_now.count()) * self.rate)}};
}

node_id raft_harness::pick_node() {
    return 1 + static_cast<node_id>(pick(static_cast<int>(m_slots.size())));
}

void raft_harness::start(node_id id) {
    auto& self = m_slots[id];
    raft_initial_state from{
        id, self.stored.state, self.stored.snapshot, self.stored.entries, self.stored.initial, m_random()};
    self.applied = self.stored.snapshot.index;
    self.applied_members =
        self.stored.snapshot.index != 0 ? self.stored.snapshot.members : self.stored.initial;
    self.node = std::make_unique<raft_node>(m_raft, std::move(from), get_local_time(self), m_settings.rules);
}

void raft_harness::crash(node_id id) {
    auto& self = m_slots[id];
    // The crash comes either after the output was written and before any message was sent, or before it was
    // written and after the early messages were sent.
    if (self.node != nullptr) {
        const auto output = self.node->take_output();
        if (pick(2) == 0) {
            persist(self.stored, output);
        } else {
            send_early(output);
        }
    }
    self.node = nullptr;
    self.is_frozen = false;
    self.reads.clear();
}

void raft_harness::persist(disk& stored, const raft_output& output) {
    if (output.install.has_value()) {
        stored.snapshot = *output.install;
        stored.entries.clear();
    }
    if (output.truncate_from != 0) {
        std::erase_if(stored.entries,
                      [&](const log_entry& entry) { return entry.index >= output.truncate_from; });
    }
    for (const auto& entry : output.entries) {
        stored.entries.push_back(entry);
    }
    if (output.state.has_value()) {
        stored.state = *output.state;
    }
}

void raft_harness::send_early(const raft_output& output) {
    for (const auto& message : output.messages) {
        if (m_settings.sends_all_before_sync || may_send_before_sync(output, message)) {
            m_messages.push_back(message);
        }
    }
}

void raft_harness::process_output(node_id id) {
    auto& self = m_slots[id];
    const auto output = self.node->take_output();
    persist(self.stored, output);
    std::copy(output.messages.begin(), output.messages.end(), std::back_inserter(m_messages));
    if (output.install.has_value()) {
        self.applied = output.install->index;
        self.applied_members = output.install->members;
    }
    for (const auto& entry : output.committed) {
        check_committed(self, entry);
    }
    if (self.node->get_role() == raft_role::leader) {
        m_acknowledged = std::max(m_acknowledged, self.node->get_commit());
    }
    for (const auto token : output.reads) {
        const auto requested = self.reads.find(token);
        if (requested != self.reads.end() && self.applied < requested->second) {
            fail("a read returned an older state than was acknowledged when it was asked for");
        }
        self.reads.erase(token);
    }
}

void raft_harness::check_committed(slot& self, const log_entry& entry) {
    if (entry.index != self.applied + 1) {
        fail("entries were committed out of order");
    }
    self.applied = entry.index;
    if (entry.kind == entry_kind::membership) {
        self.applied_members = raft_membership::decode(entry.payload);
    }
    const auto [known, is_new] = m_committed.emplace(entry.index, entry);
    if (!is_new && known->second != entry) {
        fail("two nodes committed different entries at index " + std::to_string(entry.index));
    }
}

void raft_harness::check_leaders() {
    for (auto& [id, self] : m_slots) {
        if (self.node == nullptr || self.node->get_role() != raft_role::leader) {
            continue;
        }
        const auto [known, is_new] = m_leaders.emplace(self.node->get_term(), id);
        if (!is_new && known->second != id) {
            fail("two leaders in term " + std::to_string(self.node->get_term()));
        }
        if (!self.node->has_lease(get_local_time(self))) {
            continue;
        }
        for (auto& [other_id, other] : m_slots) {
            const bool is_newer = other.node != nullptr && other.node->get_role() == raft_role::leader &&
                                  other.node->get_term() > self.node->get_term();
            if (is_newer) {
                fail("a leader holds its lease while another node leads in a newer term");
            }
        }
    }
}

void raft_harness::deliver_one() {
    if (m_messages.empty()) {
        return;
    }
    const auto position = static_cast<std::size_t>(pick(static_cast<int>(m_messages.size())));
    const auto message = m_messages[position];
    if (m_slots[message.to].is_frozen) {
        return; // the sockets of a frozen node keep the message until it resumes
    }
    const int fault = pick(20);
    if (fault != 0) { // 0: duplicated, a copy stays in flight
        m_messages[position] = m_messages.back();
        m_messages.pop_back();
    }
    const bool is_lost = fault == 1 || m_cuts.contains({message.from, message.to});
    auto& self = m_slots[message.to];
    if (is_lost || self.node == nullptr) {
        return;
    }
    self.node->step(message, get_local_time(self));
    if (pick(200) == 0) {
        crash(message.to);
        return;
    }
    process_output(message.to);
}

void raft_harness::change_members(node_id leader) {
    auto& self = m_slots[leader];
    const auto target = pick_node();
    const auto now = get_local_time(self);
    switch (pick(4)) {
    case 0:
        static_cast<void>(self.node->add_learner(target, now));
        break;
    case 1:
    case 2:
        static_cast<void>(self.node->promote(target, now));
        break;
    default:
        if (self.node->get_membership().voters.size() > 2) {
            static_cast<void>(self.node->remove(target, now));
        }
        break;
    }
}

void raft_harness::compact(node_id id) {
    auto& self = m_slots[id];
    const auto term = self.node->get_log().find_term(self.applied);
    if (self.applied <= self.stored.snapshot.index || !term.has_value()) {
        return;
    }
    const raft_snapshot snapshot{
        self.applied, *term, self.applied_members,
        std::make_shared<const std::string>("state at " + std::to_string(self.applied))};
    self.stored.snapshot = snapshot;
    std::erase_if(self.stored.entries, [&](const log_entry& entry) { return entry.index <= snapshot.index; });
    self.node->compact(snapshot, static_cast<std::uint64_t>(pick(5)));
}

void raft_harness::run_random_step() {
    const int choice = pick(100);
    if (choice < 70) {
        deliver_one();
        return;
    }
    const auto id = pick_node();
    auto& self = m_slots[id];
    if (choice < 82) {
        m_now += milliseconds{pick(60)};
        for (auto& [other_id, other] : m_slots) {
            if (other.node != nullptr && !other.is_frozen) {
                other.node->tick(get_local_time(other));
                process_output(other_id);
            }
        }
    } else if (pick(100) == 0) {
        self.is_frozen = self.node != nullptr && !self.is_frozen;
    } else if (pick(400) == 0) {
        for (auto& [other_id, other] : m_slots) {
            crash(other_id); // a power failure of all nodes at once
        }
    } else if (self.is_frozen) {
        self.is_frozen = pick(3) != 0;
    } else if (choice == 82) {
        m_cuts.clear();
        for (int cut = pick(4); cut > 0; --cut) {
            m_cuts.insert({pick_node(), pick_node()}); // cuts one direction only
        }
    } else if (self.node == nullptr) {
        start(id);
    } else if (choice == 83) {
        crash(id);
    } else if (self.node->get_role() != raft_role::leader) {
        if (choice == 84) {
            compact(id);
        }
    } else if (choice < 92) {
        static_cast<void>(
            self.node->propose("command " + std::to_string(m_next_command++), get_local_time(self)));
        process_output(id);
    } else if (choice < 95) {
        const auto token = self.node->request_read(get_local_time(self));
        if (token) {
            self.reads[token.value()] = m_acknowledged;
        }
        process_output(id);
    } else if (choice == 95) {
        static_cast<void>(self.node->transfer_leadership(0, get_local_time(self)));
        process_output(id);
    } else if (choice == 96) {
        compact(id);
    } else if (m_settings.has_membership) {
        change_members(id);
        process_output(id);
    }
}

std::string raft_harness::run() {
    for (int step = 0; step < m_settings.steps && m_violation.empty(); ++step) {
        run_random_step();
        check_leaders();
    }
    return m_violation;
}

std::string raft_harness::heal_and_commit() {
    m_cuts.clear();
    for (auto& [id, self] : m_slots) {
        self.is_frozen = false;
        if (self.node == nullptr) {
            start(id);
        }
    }
    constexpr int rounds = 4000;
    log_index proposed = 0;
    for (int round = 0; round < rounds && m_violation.empty(); ++round) {
        m_now += milliseconds{10};
        for (auto& [id, self] : m_slots) {
            self.node->tick(get_local_time(self));
            process_output(id);
        }
        for (auto& message : std::exchange(m_messages, {})) {
            auto& self = m_slots[message.to];
            self.node->step(message, get_local_time(self));
            process_output(message.to);
        }
        for (auto& [id, self] : m_slots) {
            if (self.node->has_committed_in_term() && proposed == 0) {
                const auto index = self.node->propose("last", get_local_time(self));
                proposed = index ? index.value() : 0;
                process_output(id);
            }
        }
        const auto last = m_committed.find(proposed);
        if (proposed != 0 && last != m_committed.end()) {
            return last->second.payload == "last" ? "" : "another entry took the place of the last command";
        }
    }
    return m_violation.empty() ? "no command could be committed after the faults ended" : m_violation;
}

std::uint64_t raft_harness::hash_committed() const {
    std::string bytes;
    for (const auto& [index, entry] : m_committed) {
        bytes += std::to_string(index) + " " + std::to_string(entry.term) + " " + entry.payload + "\n";
    }
    return hash_bytes(bytes);
}

} // namespace poplarpitch
