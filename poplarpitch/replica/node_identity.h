#pragma once

#include "poplarpitch/consensus/node_id.h"
#include "poplarpitch/core/result.h"
#include "poplarpitch/storage/file_system.h"
#include "poplarpitch/storage/storage_error.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <string>

namespace poplarpitch {

/// Name of the file in the data folder that holds the node ID.
inline constexpr const char* node_identity_file_name = "node-id";

/// Returns the node ID stored in the data folder. When there is none, stores `new_id` first and returns it,
/// so that the ID is durable before any other node learns of it. Precondition: `files` is locked. Thread
/// safety: none.
template <file_system FileSystem>
result<node_id> load_node_identity(FileSystem& files, node_id new_id) {
    BOOST_OUTCOME_TRY(names, files.list());
    if (std::find(names.begin(), names.end(), node_identity_file_name) != names.end()) {
        BOOST_OUTCOME_TRY(text, files.read(node_identity_file_name));
        node_id id = 0;
        if (!text.empty() && text.back() == '\n' && absl::SimpleAtoi(text.substr(0, text.size() - 1), &id)) {
            return id;
        }
        // Truncated by a power failure before the sync: no other node knows the ID.
        BOOST_OUTCOME_TRY(files.remove(node_identity_file_name));
    }
    BOOST_OUTCOME_TRY(files.append(node_identity_file_name, absl::StrCat(new_id, "\n")));
    BOOST_OUTCOME_TRY(files.sync(node_identity_file_name));
    BOOST_OUTCOME_TRY(files.sync_folder());
    return new_id;
}

} // namespace poplarpitch
