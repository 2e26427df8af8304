#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/net/endpoint_kind.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>

namespace poplarpitch {

class memory_account;

/// Limits the memory that a process holds for its peers, over all its connections.
///
/// A limit for each connection bounds nothing: 3,000 bodies of 1 MiB are 3 GB. When the limit is exceeded,
/// connections are closed, not paused: what is not read stays in the kernel's buffers, which count too. The
/// connection whose message has been under way for longest is closed first, and one with a short message only
/// when no other is left. So the newcomer is not the one that pays, and an ordinary request, which is short
/// and arrives at once, is never the first. Requests that are being handled are not closed, since they may
/// have been passed on; they may take half of the limit, and further ones are to be refused. Thread safety:
/// none, as for all methods.
class memory_budget {
public:
    /// Bytes of a message that counts as short: a job of 64 steps and its header are about 12 KB, and twice
    /// that while the buffer grows.
    static constexpr std::size_t max_short_message_bytes = 32U << 10;

    /// `limit`: bytes.
    explicit memory_budget(std::size_t limit) : m_limit(limit) {}
    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;

    /// Returns true if a request that takes this many bytes while it is handled may be passed on. A request
    /// that is not short must leave room for short ones.
    [[nodiscard]] bool has_room_for_request(std::size_t bytes) const;
    /// Returns the number of bytes held, for all kinds or one kind of connections.
    [[nodiscard]] std::size_t get_held() const { return m_held; }
    [[nodiscard]] std::size_t get_held(endpoint_kind kind) const {
        return m_held_by_kind[static_cast<std::size_t>(kind)];
    }
    [[nodiscard]] std::size_t get_limit() const { return m_limit; }

private:
    friend class memory_account;

    /// The order in which connections are closed: those with short messages last, the oldest message first.
    struct eviction_key {
        bool is_short = false;
        time_point since{};
        memory_account* account = nullptr;

        friend auto operator<=>(const eviction_key&, const eviction_key&) = default;
    };

    /// Replaces what an account holds.
    void update(endpoint_kind kind, std::size_t former_bytes, std::size_t bytes);
    /// Closes connections until the limit is kept or none is left that may be closed.
    void enforce();

    std::size_t m_limit;
    std::size_t m_held = 0;
    std::size_t m_handled = 0; ///< bytes of requests that are being handled
    std::array<std::size_t, endpoint_kind_count> m_held_by_kind{};
    std::set<eviction_key> m_evictable;
};

} // namespace poplarpitch
