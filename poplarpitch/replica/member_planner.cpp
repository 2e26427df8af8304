#include "poplarpitch/replica/member_planner.h"

#include "poplarpitch/replica/node_address.h"

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr duration candidate_life = seconds{2}; // a node that joins asks several times a second
constexpr duration answer_life = seconds{1};    // ten heartbeats
constexpr log_index catch_up_gap = 50;          // entries; less than what one message carries

bool is_caught_up(const member_sight& sight, node_id node, time_point now) {
    const auto found = sight.progress.find(node);
    return found != sight.progress.end() && now - found->second.last_answer < answer_life &&
           found->second.match + catch_up_gap >= sight.last_index;
}

} // namespace

member_planner::member_planner(std::size_t voters, duration voter_loss)
    : m_voters(voters), m_voter_loss(voter_loss) {}

void member_planner::on_join(node_id node, time_point now) {
    m_candidates[node] = now;
}

bool member_planner::has_asked(node_id node, time_point now) const {
    const auto found = m_candidates.find(node);
    return found != m_candidates.end() && now - found->second < candidate_life;
}

std::optional<member_step> member_planner::replace_lost_disk(const member_sight& sight,
                                                             time_point now) const {
    for (const auto& [candidate, asked] : m_candidates) {
        if (now - asked >= candidate_life || sight.members.has(candidate)) {
            continue;
        }
        const auto is_old_self = [id = candidate](node_id member) {
            return get_node_ip(member) == get_node_ip(id);
        };
        for (const auto* list : {&sight.members.voters, &sight.members.learners}) {
            const auto old = std::find_if(list->begin(), list->end(), is_old_self);
            if (old != list->end()) {
                return member_step{member_step::kind::remove, *old};
            }
        }
    }
    return std::nullopt;
}

std::optional<member_step> member_planner::promote_learner(const member_sight& sight, time_point now) const {
    for (const auto learner : sight.members.learners) {
        if (is_caught_up(sight, learner, now)) {
            return member_step{member_step::kind::promote, learner};
        }
    }
    return std::nullopt;
}

node_id member_planner::find_silent_voter(const member_sight& sight, time_point now) const {
    for (const auto voter : sight.members.voters) {
        const auto found = sight.progress.find(voter);
        if (voter == sight.self || found == sight.progress.end()) {
            continue;
        }
        const auto heard = std::max(found->second.last_answer, sight.leading_since);
        if (now - heard > m_voter_loss) {
            return voter;
        }
    }
    return 0;
}

std::optional<member_step> member_planner::plan(const member_sight& sight, time_point now) const {
    if (const auto step = replace_lost_disk(sight, now)) {
        return step;
    }
    const bool wants_voters = sight.members.voters.size() < m_voters;
    if (wants_voters) {
        if (const auto step = promote_learner(sight, now)) {
            return step;
        }
    }
    const auto silent = wants_voters ? 0 : find_silent_voter(sight, now);
    if (silent != 0) {
        const auto& learners = sight.members.learners;
        const bool has_spare = std::any_of(learners.begin(), learners.end(), [&](node_id learner) {
            return is_caught_up(sight, learner, now);
        });
        if (has_spare) {
            return member_step{member_step::kind::remove, silent};
        }
    }
    const bool wants_learner = sight.members.voters.size() + sight.members.learners.size() < m_voters;
    if (!wants_learner && (silent == 0 || !sight.members.learners.empty())) {
        return std::nullopt;
    }
    for (const auto& [candidate, asked] : m_candidates) {
        if (has_asked(candidate, now) && !sight.members.has(candidate)) {
            return member_step{member_step::kind::add_learner, candidate};
        }
    }
    return std::nullopt;
}

} // namespace poplarpitch
