#pragma once

#include <system_error>

namespace poplarpitch {

/// Why the replicated state refuses a command. The numbers are part of the protocol between own processes.
enum class state_errc {
    version_conflict = 1, ///< the configuration has moved on; the present version is in the answer
    invalid_config = 2,   ///< the text has errors
    unknown_session = 3,  ///< no such session, or of an older incarnation
    unknown_worker = 4,
    stale_epoch = 5, ///< the worker has another owner by now
    unknown_job = 6,
    stale_attempt = 7,   ///< the job has moved on
    conflicting_job = 8, ///< same id, other content
    over_quota = 9,      ///< the tenant has too many jobs
    unknown_tenant = 10,
    unknown_batch = 11,
    not_allowed = 12,  ///< the record is not in a state that allows this
    key_in_use = 13,   ///< the intent exists; it is in the answer
    key_conflict = 14, ///< same key, other request
    unknown_intent = 15,
    intents_full = 16,  ///< no room for another intent; nothing was run
    malformed = 17,     ///< the command could not be read
    never_fits = 18,    ///< no worker could hold the job
    address_taken = 19, ///< another target announced this id from another address and is alive
    jobs_full = 20,     ///< the records of all jobs take all the room there is
};

/// Returns the error category of the replicated state. Thread safety: any thread.
[[nodiscard]] const std::error_category& get_state_category() noexcept;

/// Makes a `std::error_code`. Thread safety: any thread.
[[nodiscard]] std::error_code make_error_code(state_errc code) noexcept;

} // namespace poplarpitch

template <>
struct std::is_error_code_enum<poplarpitch::state_errc> : std::true_type {};
