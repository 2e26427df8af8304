#include "poplarpitch/control/owner_assigner.h"

#include "poplarpitch/state/fleet_table.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr std::size_t max_assignments = 200; // in one run
constexpr std::size_t min_imbalance = 2;     // a difference of one cannot be evened out
constexpr duration rebalance_interval =
    milliseconds{300}; // a moved worker is unused for about one announcement

wire::command make_assign_command(const wire::worker& worker, const std::string& owner) {
    wire::command command;
    command.mutable_owner()->set_worker(worker.id());
    command.mutable_owner()->set_owner(owner);
    command.mutable_owner()->set_expected_epoch(worker.epoch());
    return command;
}

} // namespace

owner_assigner::owned_counts owner_assigner::count_owned(const fleet_table& fleet) {
    owned_counts counts;
    for (const auto& [entry, session] : fleet.get_sessions()) {
        if (!session.draining()) {
            counts[entry] = fleet.get_owned(entry).size();
        }
    }
    return counts;
}

std::string owner_assigner::pick_owner(const fleet_table& fleet, const wire::worker& worker,
                                       const owned_counts& counts) {
    std::string best;
    bool is_best_local = false;
    std::size_t best_count = 0;
    for (const auto& [entry, count] : counts) {
        const bool is_local = fleet.find_session(entry)->data_centre() == worker.data_centre();
        const bool is_better =
            best.empty() || (is_local && !is_best_local) || (is_local == is_best_local && count < best_count);
        if (is_better) {
            best = entry;
            is_best_local = is_local;
            best_count = count;
        }
    }
    return best;
}

std::vector<wire::command> owner_assigner::run(const fleet_table& fleet, time_point now) {
    std::vector<wire::command> commands;
    auto counts = count_owned(fleet);
    if (counts.empty()) {
        return commands;
    }
    const auto assign = [&](const std::string& id) {
        const auto& worker = *fleet.find_worker(id);
        const auto owner = pick_owner(fleet, worker, counts);
        ++counts[owner];
        commands.push_back(make_assign_command(worker, owner));
    };
    for (const auto& id : fleet.get_unowned()) {
        if (commands.size() >= max_assignments) {
            return commands;
        }
        assign(id);
    }
    // The workers of a draining entry are reassigned while its session is still open.
    for (const auto& [entry, session] : fleet.get_sessions()) {
        if (!session.draining()) {
            continue;
        }
        for (const auto& id : fleet.get_owned(entry)) {
            if (commands.size() < max_assignments) {
                assign(id);
            }
        }
    }
    if (commands.empty()) {
        rebalance(fleet, counts, now, commands);
    }
    return commands;
}

void owner_assigner::rebalance(const fleet_table& fleet, const owned_counts& counts, time_point now,
                               std::vector<wire::command>& commands) {
    if (m_last_rebalance != time_point{} && now - m_last_rebalance < rebalance_interval) {
        return;
    }
    const auto by_count = [](const auto& left, const auto& right) {
        return left.second < right.second;
    };
    const auto least = std::min_element(counts.begin(), counts.end(), by_count);
    const auto most = std::max_element(counts.begin(), counts.end(), by_count);
    if (most->second < least->second + min_imbalance) {
        return;
    }
    // Moves no worker away from an entry in the worker's own data centre to an entry of another one.
    const auto& to_data_centre = fleet.find_session(least->first)->data_centre();
    const auto& from_data_centre = fleet.find_session(most->first)->data_centre();
    for (const auto& id : fleet.get_owned(most->first)) {
        const auto& worker = *fleet.find_worker(id);
        const bool is_leaving_data_centre =
            worker.data_centre() == from_data_centre && from_data_centre != to_data_centre;
        if (!is_leaving_data_centre && !worker.silent()) {
            commands.push_back(make_assign_command(worker, least->first));
            m_last_rebalance = now;
            return;
        }
    }
}

} // namespace poplarpitch
