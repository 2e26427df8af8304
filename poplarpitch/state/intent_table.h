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

/// What became of a request with an Idempotency-Key.
enum class intent_phase : std::uint32_t {
    begun = 0,    ///< may be running
    answered = 1, ///< ran; the answer is recorded
    unknown = 2,  ///< was sent; nobody knows what became of it
    not_run = 3,  ///< surely did not run; the key may be begun again
};

/// The idempotency keys of non-idempotent requests. A key is begun in the log before its request is sent to a
/// target, so a resend through any entry finds it. Records live for a stated time and are bounded in number:
/// when the table is full, new keyed requests are refused before they run. Thread safety: none, as for all
/// methods.
class intent_table {
public:
    intent_table(const state_rules& rules, std::size_t max_intents, std::size_t max_body);

    /// Records a key. `key_in_use`, `key_conflict` when it is there; the record is what `find` returns.
    std::error_code begin(const wire::intent& begun);
    /// Records what became of it. Only the request that began the key may end it.
    std::error_code end(const wire::intent& ended);
    /// Marks every begun intent of an entry as unknown: the entry is gone and can tell nobody.
    void mark_unknown(const std::string& entry);
    /// Forgets intents begun before `before_ms`.
    void expire(std::int64_t before_ms);

    /// Returns the intent with `key`, or null.
    [[nodiscard]] const wire::intent* find(const std::string& key) const;
    [[nodiscard]] std::size_t get_count() const { return m_intents.size(); }
    /// Calls `visit` for every intent, ordered by begin time and key.
    void for_each(const std::function<void(const wire::intent&)>& visit) const;
    /// Puts an intent of a snapshot in place. Precondition: its key is not here.
    void restore(wire::intent&& record);

private:
    state_rules m_rules;
    std::size_t m_max_intents;
    std::size_t m_max_body;
    absl::node_hash_map<std::string, wire::intent>
        m_intents; ///< records are large: an empty slot must be small
    absl::btree_set<std::pair<std::int64_t, std::string>> m_by_time;
    absl::flat_hash_map<std::string, absl::btree_set<std::string>> m_begun_by_entry;
};

} // namespace poplarpitch
