// Measures the replicated log on real files without sockets: synced commits per second, log bytes per entry
// and recovery time. The nodes run in one process and exchange messages directly, so that only log, codec and
// disk are measured.
#include "poplarpitch/consensus/raft_node.h"
#include "poplarpitch/core/system_clock.h"
#include "poplarpitch/state/state_machine.h"
#include "poplarpitch/storage/posix_file_system.h"
#include "poplarpitch/storage/raft_storage.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

namespace poplarpitch {
namespace {

/// A voter and its files.
struct voter {
    explicit voter(const std::string& folder, node_id id) : files(folder), storage(files, {"bench", id}) {}
    posix_file_system files;
    raft_storage<posix_file_system> storage;
    std::unique_ptr<raft_node> node;
    std::size_t committed = 0;
};

/// Voters on real files. Their messages are delivered immediately.
class bench_cluster {
public:
    bench_cluster(const std::string& folder, int voters) {
        raft_membership members;
        for (int id = 1; id <= voters; ++id) {
            members = members.with_voter(static_cast<node_id>(id));
        }
        for (int id = 1; id <= voters; ++id) {
            const auto number = static_cast<node_id>(id);
            auto voter_state = std::make_unique<voter>(folder + "/" + std::to_string(id), number);
            static_cast<void>(voter_state->storage.open());
            static_cast<void>(voter_state->storage.write_initial_members(members));
            raft_initial_state start;
            start.id = number;
            start.initial = members;
            start.seed = 5;
            voter_state->node = std::make_unique<raft_node>(raft_settings{}, start, m_now);
            m_voters[number] = std::move(voter_state);
        }
        while (get_leader() == nullptr || !get_leader()->node->has_committed_in_term()) {
            m_now += milliseconds{20};
            for (auto& [id, voter_state] : m_voters) {
                voter_state->node->tick(m_now);
            }
            exchange();
        }
    }

    /// Proposes `batch` commands together and runs the voters until they are committed.
    void commit(int batch, const std::string& payload) {
        auto& leader = *get_leader();
        for (int number = 0; number < batch; ++number) {
            static_cast<void>(leader.node->propose(payload, m_now));
        }
        const auto goal = leader.committed + static_cast<std::size_t>(batch);
        while (leader.committed < goal) {
            exchange();
        }
        m_now += milliseconds{1};
    }

    voter* get_leader() {
        for (auto& [id, voter_state] : m_voters) {
            if (voter_state->node->get_role() == raft_role::leader) {
                return voter_state.get();
            }
        }
        return nullptr;
    }

private:
    void exchange() {
        std::vector<raft_message> messages;
        for (auto& [id, voter_state] : m_voters) {
            auto output = voter_state->node->take_output();
            if (output.needs_sync()) {
                static_cast<void>(voter_state->storage.save(output));
            }
            voter_state->committed += output.committed.size();
            std::move(output.messages.begin(), output.messages.end(), std::back_inserter(messages));
        }
        for (const auto& message : messages) {
            m_voters[message.to]->node->step(message, m_now);
        }
    }

    time_point m_now{seconds{100}};
    std::map<node_id, std::unique_ptr<voter>> m_voters;
};

std::string make_payload() {
    wire::command command;
    command.mutable_event()->set_job("settlement-2026-12-02-000123");
    command.mutable_event()->set_attempt(1);
    command.mutable_event()->set_kind(wire::event_started);
    command.mutable_event()->set_worker("worker-gimje-017");
    command.mutable_event()->set_at_ms(1'796'000'000'000);
    return command.SerializeAsString();
}

void measure_commits(const std::string& folder, int voters, int batch) {
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    bench_cluster cluster(folder, voters);
    const auto payload = make_payload();
    const system_clock clock;
    std::vector<double> times;
    const auto before = cluster.get_leader()->storage.get_written_bytes();
    const auto begin = clock.now();
    constexpr int rounds = 400;
    for (int round = 0; round < rounds; ++round) {
        const auto start = clock.now();
        cluster.commit(batch, payload);
        times.push_back(to_microseconds(clock.now() - start));
    }
    const double total = to_seconds(clock.now() - begin);
    const auto bytes = cluster.get_leader()->storage.get_written_bytes() - before;
    std::sort(times.begin(), times.end());
    std::printf("%6d %6d %12.0f %10.0f %10.0f %12.1f\n", voters, batch, rounds * batch / total,
                times[rounds / 2], times[rounds * 99 / 100], static_cast<double>(bytes) / (rounds * batch));
}

void measure_recovery(const std::string& folder, int entries) {
    std::filesystem::remove_all(folder);
    {
        posix_file_system files(folder);
        raft_storage<posix_file_system> storage(files, {"bench", 1});
        static_cast<void>(storage.open());
        static_cast<void>(storage.write_initial_members({{1}, {}}));
        raft_output output;
        for (int index = 1; index <= entries; ++index) {
            output.entries.push_back({static_cast<log_index>(index), 1, entry_kind::command, make_payload()});
            if (index % 100 == 0) {
                static_cast<void>(storage.save(output));
                output.entries.clear();
            }
        }
    }
    const system_clock clock;
    const auto begin = clock.now();
    posix_file_system files(folder);
    raft_storage<posix_file_system> storage(files, {"bench", 1});
    const auto state = storage.open();
    state_machine machine;
    for (const auto& entry : state.value().entries) {
        machine.apply_bytes(entry.index, entry.payload);
    }
    std::printf("%8d %10.1f\n", entries, to_seconds(clock.now() - begin) * 1000);
}

} // namespace
} // namespace poplarpitch

int main() {
    const auto folder =
        std::filesystem::temp_directory_path() / ("poplarpitch-log-benchmark-" + std::to_string(::getpid()));
    std::printf("commits with sync, nodes in one process (the syncs of all voters follow one another)\n");
    std::printf("%6s %6s %12s %10s %10s %12s\n", "voters", "batch", "commits/s", "p50 us", "p99 us",
                "bytes/entry");
    for (const int voters : {1, 3, 5}) {
        for (const int batch : {1, 16, 64}) {
            poplarpitch::measure_commits(folder.string(), voters, batch);
        }
    }
    std::printf("\nrecovery: open the folder and apply the log\n%8s %10s\n", "entries", "ms");
    for (const int entries : {1000, 10000, 100000}) {
        poplarpitch::measure_recovery(folder.string(), entries);
    }
    std::filesystem::remove_all(folder);
    return 0;
}
