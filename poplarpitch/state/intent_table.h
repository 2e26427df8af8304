#pragma once

#include "poplarpitch/consensus/node_id.h"
#include "poplarpitch/state/state_error.h"
#include "poplarpitch/state/state_rules.h"
#include "poplarpitch/wire/poplarpitch.pb.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/node_hash_map.h>

#include <functional>
#include <string>

namespace poplarpitch {

/// Phase of a request with an Idempotency-Key.
enum class intent_phase : std::uint32_t {
    begun = 0,    ///< may be running
    answered = 1, ///< ran; its answer is recorded
    unknown = 2,  ///< was sent; its outcome is unknown
    not_run = 3,  ///< certainly did not run; the key may be begun again
};

/// The idempotency keys of non-idempotent requests. A key is recorded in the log before its request is sent
/// to a target, so a resend through any entry finds it. Records expire by age and are limited in number. When
/// the table is full, new requests with a key are refused before they run. Thread safety: none, as for all
/// methods.
class intent_table {
public:
    /// Accepts at most `max_intents` intents and records answers of at most `max_body` bytes.
    intent_table(const state_rules& rules, std::size_t max_intents, std::size_t max_body);

    /// Records a key. Returns `key_in_use` or `key_conflict` when the key exists; `find` then returns its
    /// record. Returns `intents_full` when the table is full.
    std::error_code begin(const wire::intent& begun);
    /// Records the outcome of a request. Only the request that began the key may end it.
    std::error_code end(const wire::intent& ended);
    /// Marks every begun intent of an entry as unknown. The entry is gone and cannot report their outcomes.
    void mark_unknown(const std::string& entry);
    /// Removes the intents begun before `before_ms`.
    void expire(std::int64_t before_ms);

    /// Returns the intent with `key`, or null when there is none.
    [[nodiscard]] const wire::intent* find(const std::string& key) const;
    /// Returns the number of intents.
    [[nodiscard]] std::size_t get_count() const { return m_intents.size(); }
    /// Calls `visit` for every intent, ordered by begin time and key.
    void for_each(const std::function<void(const wire::intent&)>& visit) const;
    /// Inserts an intent of a snapshot. Precondition: the table does not have its key.
    void restore(wire::intent&& record);

private:
    state_rules m_rules;
    std::size_t m_max_intents;
    std::size_t m_max_body;
    absl::node_hash_map<std::string, wire::intent>
        m_intents; ///< a node map, because records are large and empty slots must be small
    absl::btree_set<std::pair<std::int64_t, std::string>> m_by_time;
    absl::flat_hash_map<std::string, absl::btree_set<std::string>> m_begun_by_entry;
};

} // namespace poplarpitch
