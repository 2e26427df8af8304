#pragma once

#include <system_error>

namespace poplarpitch {

/// Errors of commands on the replicated state. The numbers are part of the protocol between the processes.
enum class state_errc {
    version_conflict = 1, ///< the configuration version has changed; the result has the current one
    invalid_config = 2,   ///< the text has errors
    unknown_session = 3,  ///< no such session, or the command is of another incarnation
    unknown_worker = 4,
    stale_epoch = 5, ///< the worker's owner has changed
    unknown_job = 6,
    stale_attempt = 7,   ///< the job is no longer at this attempt
    conflicting_job = 8, ///< a job with the same id and different content exists
    over_quota = 9,      ///< the tenant has too many jobs
    unknown_tenant = 10,
    unknown_batch = 11,
    not_allowed = 12,  ///< the state of the record does not allow the command
    key_in_use = 13,   ///< the intent exists; the result has its record
    key_conflict = 14, ///< the key was used with a different request
    unknown_intent = 15,
    intents_full = 16,  ///< the table of intents is full; the request did not run
    malformed = 17,     ///< the command cannot be decoded
    never_fits = 18,    ///< no worker has the capacity for the job
    address_taken = 19, ///< another target announced this id from another address and is alive
    jobs_full = 20,     ///< the table of jobs has reached its limit of records or bytes
};

/// Returns the error category of the replicated state. Thread safety: any thread.
[[nodiscard]] const std::error_category& get_state_category() noexcept;

/// Makes a `std::error_code`. Thread safety: any thread.
[[nodiscard]] std::error_code make_error_code(state_errc code) noexcept;

} // namespace poplarpitch

template <>
struct std::is_error_code_enum<poplarpitch::state_errc> : std::true_type {};
