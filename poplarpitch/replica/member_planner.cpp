#include "poplarpitch/replica/member_planner.h"

#include "poplarpitch/replica/node_address.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr duration candidate_timeout = seconds{2}; // a joining node sends several requests a second
constexpr duration answer_timeout = seconds{1};    // ten heartbeats
constexpr log_index catch_up_gap = 50;             // entries; fewer than one message carries

bool is_caught_up(const membership_view& view, node_id node, time_point now) {
    const auto found = view.progress.find(node);
    return found != view.progress.end() && now - found->second.last_response < answer_timeout &&
           found->second.match + catch_up_gap >= view.last_index;
}

/// Returns the number of members in the data centre of `node`.
std::size_t count_members_near(const membership_view& view, node_id node) {
    const auto own = view.data_centres.find(get_node_ip(node));
    if (own == view.data_centres.end()) {
        return 0;
    }
    std::size_t count = 0;
    for (const auto& list : {view.members.voters, view.members.learners}) {
        for (const auto member : list) {
            const auto found = view.data_centres.find(get_node_ip(member));
            count += found != view.data_centres.end() && found->second == own->second ? 1 : 0;
        }
    }
    return count;
}

} // namespace

member_planner::member_planner(std::size_t voters, duration voter_loss_timeout)
    : m_voters(voters), m_voter_loss_timeout(voter_loss_timeout) {}

void member_planner::on_join(node_id node, time_point now) {
    m_candidates[node] = now;
}

bool member_planner::is_candidate(node_id node, time_point now) const {
    const auto found = m_candidates.find(node);
    return found != m_candidates.end() && now - found->second < candidate_timeout;
}

std::vector<node_id> member_planner::get_candidates(time_point now) const {
    std::vector<node_id> candidates;
    for (const auto& [node, requested_at] : m_candidates) {
        if (is_candidate(node, now)) {
            candidates.push_back(node);
        }
    }
    return candidates;
}

std::optional<member_step> member_planner::replace_lost_disk(const membership_view& view,
                                                             time_point now) const {
    for (const auto& [candidate, requested_at] : m_candidates) {
        if (now - requested_at >= candidate_timeout || view.members.has(candidate)) {
            continue;
        }
        const auto is_same_instance = [id = candidate](node_id member) {
            return get_node_ip(member) == get_node_ip(id);
        };
        for (const auto* list : {&view.members.voters, &view.members.learners}) {
            const auto old = std::find_if(list->begin(), list->end(), is_same_instance);
            if (old != list->end()) {
                return member_step{member_step::kind::remove, *old};
            }
        }
    }
    return std::nullopt;
}

std::optional<member_step> member_planner::promote_learner(const membership_view& view,
                                                           time_point now) const {
    for (const auto learner : view.members.learners) {
        if (is_caught_up(view, learner, now)) {
            return member_step{member_step::kind::promote, learner};
        }
    }
    return std::nullopt;
}

node_id member_planner::find_silent_voter(const membership_view& view, time_point now) const {
    for (const auto voter : view.members.voters) {
        const auto found = view.progress.find(voter);
        if (voter == view.self || found == view.progress.end()) {
            continue;
        }
        const auto last_contact = std::max(found->second.last_response, view.leading_since);
        if (now - last_contact > m_voter_loss_timeout) {
            return voter;
        }
    }
    return 0;
}

node_id member_planner::choose_candidate(const membership_view& view, time_point now) const {
    node_id chosen = 0;
    std::size_t fewest = 0;
    for (const auto candidate : get_candidates(now)) {
        if (view.members.has(candidate)) {
            continue;
        }
        const auto near = count_members_near(view, candidate);
        if (chosen == 0 || near < fewest) {
            chosen = candidate;
            fewest = near;
        }
    }
    return chosen;
}

std::optional<member_step> member_planner::plan(const membership_view& view, time_point now) const {
    if (const auto step = replace_lost_disk(view, now)) {
        return step;
    }
    const bool wants_voters = view.members.voters.size() < m_voters;
    if (wants_voters) {
        if (const auto step = promote_learner(view, now)) {
            return step;
        }
    }
    const auto silent = wants_voters ? 0 : find_silent_voter(view, now);
    if (silent != 0) {
        const auto& learners = view.members.learners;
        const bool has_spare = std::any_of(learners.begin(), learners.end(),
                                           [&](node_id learner) { return is_caught_up(view, learner, now); });
        if (has_spare) {
            return member_step{member_step::kind::remove, silent};
        }
    }
    const bool wants_learner = view.members.voters.size() + view.members.learners.size() < m_voters;
    if (!wants_learner && (silent == 0 || !view.members.learners.empty())) {
        return std::nullopt;
    }
    const auto candidate = choose_candidate(view, now);
    return candidate == 0 ? std::nullopt
                          : std::optional(member_step{member_step::kind::add_learner, candidate});
}

} // namespace poplarpitch
