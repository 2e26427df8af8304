#include "poplarpitch/replica/replica.h"

#include "poplarpitch/consensus/early_messages.h"
#include "poplarpitch/net/event_loop.h"
#include "poplarpitch/net/frame_socket.h"
#include "poplarpitch/net/net_error.h"
#include "poplarpitch/net/socket_address.h"
#include "poplarpitch/replica/node_address.h"
#include "poplarpitch/replica/node_identity.h"
#include "poplarpitch/storage/raft_codec.h"
#include "poplarpitch/storage/raft_message_codec.h"
#include "poplarpitch/storage/storage_error.h"
#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/telemetry/storage_failure.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <algorithm>
#include <random>

namespace poplarpitch {
namespace {

constexpr duration reported_leader_timeout = seconds{2}; // for the leader that other instances report
// Messages of other nodes deferred during one sync. A leader sends about 20 a second and resends lost ones,
// so only a disk that stalls for long reaches this limit.
constexpr std::size_t max_deferred_messages = 256;
// Connections of other processes beyond which the leader asks the entry instances to follow it through other
// instances. Each entry instance that asks the leader itself sends it three requests a second.
constexpr std::size_t max_direct_connections = 200;
constexpr duration full_retry_pause = milliseconds{200}; // between two writes to a full disk
constexpr duration full_snapshot_pause = seconds{2}; // a snapshot writes megabytes before it finds no space

node_id generate_node_id(std::uint32_t ip) {
    std::random_device device;
    const auto nonce = (device() & ((1U << nonce_bits) - 1U)) | 1U;
    return make_node_id(ip, nonce);
}

} // namespace

replica::replica(event_loop& loop, memory_budget& budget, const replica_settings& settings,
                 replica_handler handler)
    : m_loop(loop), m_settings(settings), m_handler(std::move(handler)), m_files(settings.data_folder),
      m_planner(settings.voters, settings.voter_loss_timeout),
      m_acceptor(
          loop, budget, settings.max_unknown_connections,
          [this](std::uint32_t ip) { return m_known_addresses.contains(ip); },
          [this](const std::shared_ptr<frame_socket>& socket, const job_wire::cluster_frame& frame) {
              on_accepted_frame(socket, frame);
          }),
      m_sync_task(loop) {}

replica::~replica() = default;

// ---- start

result<void> replica::start() {
    const auto ip = parse_ip(m_settings.host);
    if (!ip.has_value()) {
        return make_error_code(net_errc::listen_failed);
    }
    m_ip = *ip;
    note_data_centre(m_ip, m_settings.data_centre);
    BOOST_OUTCOME_TRY(m_files.lock());
    BOOST_OUTCOME_TRY(id, load_node_identity(m_files, generate_node_id(m_ip)));
    m_id = id;
    m_storage = std::make_unique<raft_storage<posix_file_system>>(m_files,
                                                                  storage_settings{m_settings.cluster, m_id});
    const auto stored = m_storage->open();
    if (!stored) {
        log_event(log_level::error, "storage_failed")
            .add("error", stored.error())
            .add("place", m_storage->get_error_location());
        return stored.error();
    }
    m_stored = stored.value();
    log_stored_state();
    m_mesh = std::make_unique<peer_mesh>(m_loop, m_ip, m_settings.port,
                                         [this](std::uint32_t from, const job_wire::cluster_frame& frame) {
                                             on_frame(from, frame, [](const job_wire::cluster_frame&) {});
                                         });
    if (!m_acceptor.start(m_settings.host, m_settings.port)) {
        return make_error_code(net_errc::listen_failed);
    }
    for (const auto& seed : m_settings.seeds) {
        if (const auto address = parse_ip(seed); address.has_value()) {
            m_known_addresses.insert(*address);
        }
    }
    m_loop.on_iteration_end([this] { run_iteration(); });
    if (!m_stored.is_empty) {
        start_node(m_stored.initial);
    } else {
        const bool is_seed = m_known_addresses.contains(m_ip);
        m_phase = m_settings.may_found && is_seed ? node_phase::bootstrapping : node_phase::joining;
    }
    bootstrap_or_join();
    return boost::outcome_v2::success();
}

void replica::log_stored_state() const {
    const auto& snapshot = m_stored.snapshot;
    log_event(log_level::info, "replica_started")
        .add("node", m_id)
        .add("blank", m_stored.is_empty ? "yes" : "no")
        .add("term", m_stored.state.term)
        .add("last_index", m_stored.entries.empty() ? snapshot.index : m_stored.entries.back().index)
        .add("applied", snapshot.index);
}

void replica::start_node(const raft_membership& initial) {
    m_phase = node_phase::bootstrapped;
    m_hard_state = m_stored.state;
    const auto snapshot = m_stored.snapshot;
    m_applied_members = snapshot.index != 0 ? snapshot.members : initial;
    m_applied = snapshot.index;
    if (snapshot.index != 0) {
        m_handler.on_load(*snapshot.data);
    }
    const auto now = m_loop.now();
    std::random_device device;
    raft_initial_state start{m_id, m_stored.state, snapshot, std::move(m_stored.entries), initial, device()};
    m_node = std::make_unique<raft_node>(m_settings.raft, std::move(start), now);
}

// ---- frames

void replica::on_accepted_frame(const std::shared_ptr<frame_socket>& socket,
                                const job_wire::cluster_frame& frame) {
    const auto from = frame.has_raft() ? get_node_ip(frame.raft().from()) : 0;
    const std::weak_ptr<frame_socket> weak = socket;
    on_frame(from, frame, [weak](const job_wire::cluster_frame& answer) {
        if (const auto open = weak.lock()) {
            open->send(answer.SerializeAsString());
        }
    });
}

void replica::report_leader_change() {
    const bool is_leader = m_node->get_role() == raft_role::leader;
    if (is_leader && !(m_is_leading && has_lease())) {
        return; // it does not act as the leader yet
    }
    const auto leader = m_node->get_leader();
    if (leader == 0 || leader == m_reported_leader_change) {
        return;
    }
    m_reported_leader_change = leader;
    m_acceptor.send_to_watchers(make_status_frame(0).SerializeAsString());
}

void replica::on_frame(std::uint32_t ip, const job_wire::cluster_frame& frame,
                       const std::function<void(const job_wire::cluster_frame&)>& reply) {
    switch (frame.kind_case()) {
    case job_wire::cluster_frame::kRaft:
        m_mesh->on_received(ip);
        if (m_node != nullptr) {
            m_known_addresses.insert(get_node_ip(frame.raft().from()));
            m_command_formats[frame.raft().from()] = frame.command_format();
            take_message(frame.raft());
        }
        return;
    case job_wire::cluster_frame::kAskStatus:
        ++m_status_requests;
        reply(make_status_frame(frame.ask_status().number()));
        return;
    case job_wire::cluster_frame::kStatus:
        on_status(ip, frame.status().status());
        return;
    case job_wire::cluster_frame::kJoin:
        note_data_centre(get_node_ip(frame.join().node()), frame.join().data_centre());
        m_planner.on_join(frame.join().node(), m_loop.now());
        return;
    default:
        m_handler.on_frame(frame, reply);
    }
}

job_wire::cluster_frame replica::make_status_frame(std::uint64_t number) {
    job_wire::cluster_frame frame;
    frame.mutable_status()->set_number(number);
    *frame.mutable_status()->mutable_status() = make_status();
    frame.mutable_status()->set_clock_ms(to_milliseconds(m_loop.now().time_since_epoch()));
    return frame;
}

job_wire::cluster_status replica::make_status() {
    job_wire::cluster_status status;
    status.set_node(m_id);
    status.set_data_centre(m_settings.data_centre);
    status.set_phase(static_cast<std::uint32_t>(m_phase));
    if (m_node != nullptr) {
        status.set_leader(m_node->get_leader());
        if (m_node->get_role() == raft_role::follower) {
            status.set_leader_age_ms(to_milliseconds(m_loop.now() - m_node->get_last_leader_contact()));
        }
        encode(m_node->get_membership(), *status.mutable_members());
    }
    status.set_leads(m_is_leading && has_lease());
    status.set_wants_followers_asked(status.leads() && m_acceptor.count() > max_direct_connections);
    if (status.leads() && m_handler.get_figures) {
        m_digest_writer.write(m_last_term, m_handler.get_figures(), *status.mutable_load());
    }
    if (m_handler.add_to_status) {
        m_handler.add_to_status(status);
    }
    return status;
}

void replica::note_data_centre(std::uint32_t ip, const std::string& name) {
    if (!name.empty()) { // older versions do not tell theirs
        m_data_centres[ip] = name;
    }
}

void replica::on_status(std::uint32_t ip, const job_wire::cluster_status& status) {
    note_data_centre(ip, status.data_centre());
    auto& peer = m_peer_statuses[ip];
    peer = {true, status.node(), static_cast<node_phase>(status.phase()), decode(status.members())};
    for (const auto* list : {&peer.members.voters, &peer.members.learners}) {
        for (const auto member : *list) {
            m_known_addresses.insert(get_node_ip(member));
        }
    }
    if (status.leads()) {
        m_reported_leader = ip;
        m_leader_reported_at = m_loop.now();
    }
}

// ---- iterations

void replica::run_iteration() {
    if (m_node == nullptr || is_saving()) {
        return;
    }
    m_node->tick(m_loop.now());
    update_membership();
    m_output = m_node->take_output();
    if (m_output.needs_sync()) {
        save_output();
    } else {
        finish_output();
    }
}

void replica::take_message(const wire::raft_message& message) {
    if (!is_saving()) {
        m_node->step(decode(message), m_loop.now());
        return;
    }
    if (is_storage_full() || m_deferred_messages >= max_deferred_messages) {
        return; // treated as lost: the sender resends what matters
    }
    ++m_deferred_messages;
    m_deferred.emplace_back([this, kept = decode(message)] { m_node->step(kept, m_loop.now()); });
}

void replica::arm_tick() {
    const auto next = m_node->get_next_deadline();
    if (m_tick_timer != 0 && m_tick_at <= next && m_tick_at > m_loop.now()) {
        return;
    }
    m_loop.cancel(m_tick_timer);
    m_tick_at = std::max(next, m_loop.now() + milliseconds{1});
    m_tick_timer = m_loop.call_at(m_tick_at, [this] { m_tick_timer = 0; });
}

void replica::send(const raft_message& message) {
    job_wire::cluster_frame frame;
    encode(message, *frame.mutable_raft());
    frame.set_command_format(m_handler.command_format);
    m_mesh->send(get_node_ip(message.to), frame);
}

void replica::save_output() {
    if (m_output.state.has_value()) {
        m_hard_state = *m_output.state;
    }
    for (const auto& message : m_output.messages) {
        if (may_send_before_sync(m_output, message)) {
            send(message);
        }
    }
    start_sync();
}

void replica::start_sync() {
    m_sync_task.run([this] { m_save_result = m_storage->save(m_output); }, [this] { on_sync_ended(); });
}

void replica::on_sync_ended() {
    if (!m_save_result) {
        if (!note_storage_full(m_save_result.error())) {
            end_process(m_save_result.error());
        }
        m_loop.call_after(full_retry_pause, [this] { start_sync(); });
        return;
    }
    note_storage_writable();
    finish_output();
    run_deferred();
}

bool replica::note_storage_full(const std::error_code& error) {
    if (error != make_error_code(storage_errc::no_space)) {
        return false;
    }
    if (!is_storage_full()) {
        m_full_since = m_loop.now();
        log_event(log_level::error, "storage_full")
            .add("leads", m_is_leading ? "yes" : "no")
            .add("action",
                 "takes no part in the log until a write succeeds; nothing unsynced was acknowledged");
        fail_pending_proposals(); // their callers ask the next leader
        fail_pending_reads();
    }
    return true;
}

void replica::note_storage_writable() {
    if (is_storage_full()) {
        log_event(log_level::info, "storage_writable")
            .add("full_ms", to_milliseconds(m_loop.now() - *m_full_since));
        m_full_since.reset();
    }
}

/// Called when the node's output is on disk. Sends messages, applies entries, then answers the reads that
/// waited for them.
void replica::finish_output() {
    const auto output = std::exchange(m_output, {});
    for (const auto& message : output.messages) {
        if (!output.needs_sync() || !may_send_before_sync(output, message)) {
            send(message);
        }
    }
    if (output.install.has_value()) {
        m_handler.on_load(*output.install->data);
        m_applied_members = output.install->members;
        m_applied = output.install->index;
        log_event(log_level::info, "snapshot_installed").add("index", m_applied);
    }
    for (const auto& entry : output.committed) {
        apply(entry);
    }
    const auto answer = [this](const std::vector<std::uint64_t>& tokens, bool is_confirmed) {
        for (const auto token : tokens) {
            const auto found = m_reads.find(token);
            if (found != m_reads.end()) {
                const auto work = std::move(found->second);
                m_reads.erase(found);
                work(is_confirmed);
            }
        }
    };
    answer(output.reads, true);
    answer(output.failed_reads, false);
    update_role();
    report_leader_change();
    take_snapshot_if_due();
    arm_tick();
}

void replica::apply(const log_entry& entry) {
    m_applied = entry.index;
    if (entry.kind == entry_kind::command) {
        m_handler.on_command(entry);
    } else if (entry.kind == entry_kind::membership) {
        m_applied_members = raft_membership::decode(entry.payload);
        log_event(log_level::info, "membership_changed")
            .add("voters", static_cast<std::uint64_t>(m_applied_members.voters.size()))
            .add("learners", static_cast<std::uint64_t>(m_applied_members.learners.size()))
            .add("index", entry.index);
    }
    const auto found = m_proposals.find(entry.index);
    if (found != m_proposals.end()) {
        const auto item = std::move(found->second);
        m_proposals.erase(found);
        item.on_result(item.term == entry.term ? proposal_result::applied : proposal_result::unknown);
    }
}

void replica::end_process(const std::error_code& error) {
    exit_on_storage_failure(error, m_storage->get_error_location());
}

void replica::update_role() {
    const bool is_same = m_node->get_role() == m_last_role && m_node->get_term() == m_last_term;
    if (!is_same) {
        log_event(log_level::info, "role_changed")
            .add("role", get_role_name(m_node->get_role()))
            .add("term", m_node->get_term())
            .add("leader", m_node->get_leader());
        m_last_role = m_node->get_role();
        m_last_term = m_node->get_term();
        if (m_is_leading) {
            m_is_leading = false;
            m_handler.on_leading_lost();
        }
        if (m_last_role != raft_role::leader) {
            fail_pending_proposals();
        }
    }
    if (!m_is_leading && m_node->has_committed_in_term()) {
        m_is_leading = true;
        m_leading_since = m_loop.now();
        m_planner.clear();
        m_handler.on_leading(m_last_term);
    }
}

void replica::fail_pending_proposals() {
    const auto proposals = std::move(m_proposals);
    m_proposals.clear();
    for (const auto& [index, item] : proposals) {
        item.on_result(proposal_result::unknown);
    }
}

void replica::fail_pending_reads() {
    const auto reads = std::exchange(m_reads, {});
    for (const auto& [token, on_ready] : reads) {
        on_ready(false);
    }
}

void replica::take_snapshot_if_due() {
    const auto now = m_loop.now();
    const auto written = m_storage->get_written_bytes() - m_bytes_at_snapshot;
    if (written < m_settings.snapshot_bytes || now < m_next_snapshot) {
        return;
    }
    const auto term = m_node->get_log().find_term(m_applied);
    if (!term.has_value() || m_applied <= m_node->get_snapshot().index) {
        return;
    }
    const raft_snapshot snapshot{m_applied, *term, m_applied_members,
                                 std::make_shared<const std::string>(m_handler.on_save())};
    const auto rest = m_node->get_log().copy_from(m_applied + 1, SIZE_MAX);
    const auto saved = m_storage->save_snapshot(snapshot, m_hard_state, rest);
    if (!saved && saved.error() == make_error_code(storage_errc::no_space)) {
        m_next_snapshot = now + full_snapshot_pause; // the log goes on without it
        log_event(log_level::warn, "snapshot_delayed").add("index", m_applied);
        return;
    }
    if (!saved) {
        end_process(saved.error());
    }
    m_node->compact(snapshot, m_settings.kept_entries, m_settings.kept_bytes);
    m_bytes_at_snapshot = m_storage->get_written_bytes();
    log_event(log_level::info, "snapshot_taken")
        .add("index", m_applied)
        .add("bytes", static_cast<std::uint64_t>(snapshot.data->size()));
}

// ---- queries

bool replica::has_lease() const {
    return m_node != nullptr && !is_storage_full() && m_node->has_lease(m_loop.now());
}

bool replica::do_all_members_know(std::uint32_t command_format) const {
    if (m_node == nullptr || m_handler.command_format < command_format) {
        return false;
    }
    const auto& members = m_node->get_membership();
    const auto knows = [&](node_id node) {
        const auto found = m_command_formats.find(node);
        return node == m_id || (found != m_command_formats.end() && found->second >= command_format);
    };
    return std::all_of(members.voters.begin(), members.voters.end(), knows) &&
           std::all_of(members.learners.begin(), members.learners.end(), knows);
}

std::uint32_t replica::get_leader_ip() const {
    if (m_node != nullptr && m_node->get_leader() != 0) {
        return get_node_ip(m_node->get_leader());
    }
    return is_reported_leader_fresh() ? m_reported_leader : 0;
}

bool replica::is_reported_leader_fresh() const {
    return m_reported_leader != 0 && m_loop.now() - m_leader_reported_at < reported_leader_timeout;
}

bool replica::send_frame(std::uint32_t ip, const job_wire::cluster_frame& frame) {
    return m_mesh->send(ip, frame);
}

std::set<std::uint32_t> replica::get_other_instances() const {
    std::set<std::uint32_t> others;
    if (m_node == nullptr) {
        return others;
    }
    const auto& members = m_node->get_membership();
    for (const auto& list : {members.voters, members.learners, m_planner.get_candidates(m_loop.now())}) {
        for (const auto node : list) {
            others.insert(get_node_ip(node));
        }
    }
    others.erase(m_ip);
    return others;
}

std::size_t replica::get_voter_count() const {
    return m_node == nullptr ? 0 : m_node->get_membership().voters.size();
}

} // namespace poplarpitch
