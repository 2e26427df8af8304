#include "poplarpitch/control/data_folder_restorer.h"

#include "poplarpitch/config/daemon_settings.h"
#include "poplarpitch/control/cluster_bootstrap.h"
#include "poplarpitch/core/text_file.h"
#include "poplarpitch/core/wall_time.h"
#include "poplarpitch/state/snapshot_restorer.h"
#include "poplarpitch/storage/posix_file_system.h"
#include "poplarpitch/storage/raft_storage.h"
#include "poplarpitch/telemetry/log_event.h"

namespace poplarpitch {
namespace {

constexpr int failed_code = 1;
constexpr log_term first_term = 1; // the first election of the new cluster uses a higher term

/// Writes the restored state as a snapshot. Returns false when the data folder is not blank.
result<bool> write_folder(const daemon_settings& settings, const restored_state& restored) {
    posix_file_system files(settings.data_folder);
    raft_storage<posix_file_system> storage(files, {settings.cluster, settings.node_id});
    BOOST_OUTCOME_TRY(stored, storage.open());
    if (!stored.is_empty) {
        return false;
    }
    const auto members = get_initial_voters(settings.control);
    BOOST_OUTCOME_TRY(storage.write_initial_members(members));
    const raft_snapshot snapshot{restored.index, first_term, members,
                                 std::make_shared<const std::string>(restored.data)};
    BOOST_OUTCOME_TRY(storage.save_snapshot(snapshot, {first_term, 0}, {}));
    return true;
}

} // namespace

int restore_data_folder(const daemon_settings& settings, const std::string& backup_file) {
    const auto refuse = [&](const std::string& reason) {
        log_event(log_level::error, "restore_refused").add("file", backup_file).add("reason", reason);
        return failed_code;
    };
    if (!get_initial_voters(settings.control).is_voter(settings.node_id)) {
        return refuse("no initial voter of the settings has the id of this node: restore the initial voters, "
                      "then add it");
    }
    const auto restored = restore_snapshot(read_text_file(backup_file).value_or(""), get_wall_ms());
    if (!restored.has_value()) {
        return refuse("the file cannot be read or holds no backup");
    }
    const auto written = write_folder(settings, *restored);
    if (!written) {
        return refuse("the data folder cannot be written: " + written.error().message());
    }
    if (!written.value()) {
        return refuse("the data folder is not blank");
    }
    log_event(log_level::info, "restored")
        .add("node", settings.node_id)
        .add("index", restored->index)
        .add("jobs_queued", restored->queued)
        .add("jobs_lost", restored->lost)
        .add("jobs_uncertain", restored->unknown_outcome);
    return 0;
}

} // namespace poplarpitch
