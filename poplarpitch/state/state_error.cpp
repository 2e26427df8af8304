#include "poplarpitch/state/state_error.h"

#include <string>

namespace poplarpitch {
namespace {

class state_category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "state"; }

    [[nodiscard]] std::string message(int code) const override {
        switch (static_cast<state_errc>(code)) {
        case state_errc::version_conflict:
            return "the configuration has another version by now";
        case state_errc::invalid_config:
            return "the configuration text has errors";
        case state_errc::unknown_session:
            return "no such session";
        case state_errc::unknown_worker:
            return "no such worker";
        case state_errc::stale_epoch:
            return "the worker has another owner by now";
        case state_errc::unknown_job:
            return "no such job";
        case state_errc::stale_attempt:
            return "the job has moved on to another attempt";
        case state_errc::conflicting_job:
            return "a job with this id and other content exists";
        case state_errc::over_quota:
            return "the tenant has as many jobs as its quota allows";
        case state_errc::unknown_tenant:
            return "no tenant has this name";
        case state_errc::unknown_batch:
            return "no batch class has this name";
        case state_errc::not_allowed:
            return "the record's state does not allow this";
        case state_errc::key_in_use:
            return "the idempotency key is in use";
        case state_errc::key_conflict:
            return "the idempotency key was used with another request";
        case state_errc::unknown_intent:
            return "no request with this idempotency key is known";
        case state_errc::intents_full:
            return "too many idempotency keys are remembered";
        case state_errc::malformed:
            return "the command cannot be read";
        case state_errc::never_fits:
            return "no worker could ever hold the job";
        case state_errc::address_taken:
            return "another target uses this id";
        case state_errc::jobs_full:
            return "the records of all jobs take all the room there is; come back when some have ended";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category& get_state_category() noexcept {
    static const state_category category;
    return category;
}

std::error_code make_error_code(state_errc code) noexcept {
    return {static_cast<int>(code), get_state_category()};
}

} // namespace poplarpitch
