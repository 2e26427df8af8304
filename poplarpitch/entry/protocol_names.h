#pragma once

/// Names of headers that callers, entries and targets exchange.
namespace poplarpitch {

inline constexpr const char* header_tenant = "Poplarpitch-Tenant";
inline constexpr const char* header_deadline = "Poplarpitch-Deadline-Ms";
inline constexpr const char* header_idempotent = "Poplarpitch-Idempotent";
inline constexpr const char* header_key = "Idempotency-Key";
inline constexpr const char* header_outcome = "Poplarpitch-Outcome";
inline constexpr const char* header_request_id = "Poplarpitch-Request-Id";
inline constexpr const char* header_epoch = "Poplarpitch-Epoch";
inline constexpr const char* header_forwarded = "Poplarpitch-Forwarded";
inline constexpr const char* header_lost_attempts =
    "Poplarpitch-Lost-Attempts"; ///< set by an entry that forwards a request: earlier attempts without an
                                 ///< answer from their target
inline constexpr const char* header_refused =
    "Poplarpitch-Refused"; ///< set by a target that did not run the request
inline constexpr const char* header_change_id = "Poplarpitch-Change-Id";
inline constexpr const char* outcome_done = "done";
inline constexpr const char* outcome_not_run = "not-run";
inline constexpr const char* outcome_unknown = "unknown";

} // namespace poplarpitch
