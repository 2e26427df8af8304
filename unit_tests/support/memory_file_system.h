#pragma once

#include "poplarpitch/core/result.h"
#include "poplarpitch/storage/storage_error.h"

#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpitch {

/// A file system in memory. A simulated power loss discards data that was not synced, and any call can be
/// made to fail. While it is full, nothing can be appended; a file that does not exist is created empty.
/// Thread safety: none.
class memory_file_system {
public:
    result<void> lock() { return check(); }

    result<std::vector<std::string>> list() {
        BOOST_OUTCOME_TRY(check());
        std::vector<std::string> names;
        for (const auto& [name, bytes] : m_files) {
            names.push_back(name);
        }
        return names;
    }

    result<std::string> read(const std::string& name) {
        BOOST_OUTCOME_TRY(check());
        const auto found = m_files.find(name);
        if (found == m_files.end()) {
            return make_error_code(storage_errc::not_found);
        }
        return found->second;
    }

    result<void> append(const std::string& name, std::string_view bytes) {
        BOOST_OUTCOME_TRY(check());
        auto& file = m_files[name];
        if (m_is_full) {
            return make_error_code(storage_errc::no_space);
        }
        file.append(bytes);
        return boost::outcome_v2::success();
    }

    result<void> truncate(const std::string& name, std::uint64_t size) {
        BOOST_OUTCOME_TRY(check());
        m_files[name].resize(size);
        return boost::outcome_v2::success();
    }

    result<void> sync(const std::string& name) {
        BOOST_OUTCOME_TRY(check());
        m_synced_bytes[name] = m_files[name];
        return boost::outcome_v2::success();
    }

    result<void> sync_folder() {
        BOOST_OUTCOME_TRY(check());
        m_synced_names.clear();
        for (const auto& [name, bytes] : m_files) {
            m_synced_names[name] = name;
        }
        m_renames.clear();
        return boost::outcome_v2::success();
    }

    result<void> rename(const std::string& from, const std::string& to) {
        BOOST_OUTCOME_TRY(check());
        m_files[to] = m_files[from];
        m_files.erase(from);
        // The bytes of the file move with it. The new name is durable once the folder is synced.
        m_old_bytes[to] = m_synced_bytes.contains(to) ? m_synced_bytes[to] : std::string{};
        m_synced_bytes[to] = m_synced_bytes[from];
        m_renames[to] = from;
        return boost::outcome_v2::success();
    }

    result<void> remove(const std::string& name) {
        BOOST_OUTCOME_TRY(check());
        m_files.erase(name);
        return boost::outcome_v2::success();
    }

    /// Simulates a power loss: data that was not synced is lost, either completely or from a random offset
    /// on.
    void cut_power(std::mt19937_64& random) {
        std::map<std::string, std::string> after;
        for (const auto& [name, old] : m_synced_names) {
            auto bytes = m_synced_bytes[name];
            if (m_renames.contains(name)) {
                bytes = m_old_bytes[name];
            }
            const auto present = m_files.find(name);
            const bool is_grown = present != m_files.end() && !m_renames.contains(name) &&
                                  present->second.size() > bytes.size() && present->second.starts_with(bytes);
            if (is_grown) {
                const auto extra = present->second.size() - bytes.size();
                bytes += present->second.substr(bytes.size(), random() % (extra + 1));
            }
            after[name] = bytes;
        }
        m_files = after;
        m_synced_bytes = after;
        m_renames.clear();
        m_fail_in = -1;
    }

    /// Lets `calls` more calls succeed and makes all later ones fail with `error`.
    void fail_after(int calls, storage_errc error) {
        m_fail_in = calls;
        m_error = error;
    }
    /// Makes calls succeed again.
    void clear_failure() { m_fail_in = -1; }
    /// Makes the disk full or leaves it room again.
    void set_full(bool is_full) { m_is_full = is_full; }
    [[nodiscard]] bool is_full() const { return m_is_full; }
    /// Returns the number of calls so far.
    [[nodiscard]] int get_calls() const { return m_calls; }
    std::map<std::string, std::string>& get_files() { return m_files; }

private:
    result<void> check() {
        ++m_calls;
        if (m_fail_in == 0) {
            return make_error_code(m_error);
        }
        if (m_fail_in > 0) {
            --m_fail_in;
        }
        return boost::outcome_v2::success();
    }

    std::map<std::string, std::string> m_files;
    std::map<std::string, std::string> m_synced_bytes;
    std::map<std::string, std::string> m_old_bytes;
    std::map<std::string, std::string> m_synced_names;
    std::map<std::string, std::string> m_renames;
    storage_errc m_error = storage_errc::io_failed;
    bool m_is_full = false;
    int m_fail_in = -1;
    int m_calls = 0;
};

} // namespace poplarpitch
