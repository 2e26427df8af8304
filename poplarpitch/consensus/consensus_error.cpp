#include "poplarpitch/consensus/consensus_error.h"

#include <string>

namespace poplarpitch {
namespace {

class consensus_category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "consensus"; }

    [[nodiscard]] std::string message(int code) const override {
        switch (static_cast<consensus_errc>(code)) {
        case consensus_errc::not_leader:
            return "this node does not lead";
        case consensus_errc::overloaded:
            return "too many uncommitted changes";
        case consensus_errc::transfer_in_progress:
            return "leadership is being transferred";
        case consensus_errc::change_in_progress:
            return "a membership change is in progress";
        case consensus_errc::no_commit_in_term:
            return "the leader has not committed in its own term yet";
        case consensus_errc::unknown_node:
            return "the node is not a member";
        case consensus_errc::not_caught_up:
            return "the learner has not caught up";
        case consensus_errc::last_voter:
            return "the last voter cannot be removed";
        case consensus_errc::already_member:
            return "the node is a member already";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category& get_consensus_category() noexcept {
    static const consensus_category category;
    return category;
}

std::error_code make_error_code(consensus_errc code) noexcept {
    return {static_cast<int>(code), get_consensus_category()};
}

} // namespace poplarpitch
