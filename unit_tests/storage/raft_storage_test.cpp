#include "poplarpitch/storage/raft_storage_impl.h"
#include "unit_tests/support/memory_file_system.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <filesystem>

namespace poplarpitch {

template class raft_storage<memory_file_system>;

namespace {

using memory_storage = raft_storage<memory_file_system>;
const storage_settings own_settings{"ring", 1};

raft_output make_entries(log_index first, int count, log_term term) {
    raft_output output;
    for (int index = 0; index < count; ++index) {
        output.entries.push_back({first + static_cast<log_index>(index), term, entry_kind::command,
                                  "payload " + std::to_string(index)});
    }
    output.state = hard_state{term, 2};
    return output;
}

TEST(raft_storage, keeps_what_was_saved) {
    memory_file_system files;
    memory_storage storage(files, own_settings);
    ASSERT_TRUE(storage.open().value().is_empty);
    ASSERT_TRUE(storage.write_initial_members({{1, 2, 3}, {}}));
    ASSERT_TRUE(storage.save(make_entries(1, 3, 1)));
    raft_output truncation;
    truncation.truncate_from = 3;
    truncation.entries = {{3, 2, entry_kind::command, "other"}};
    ASSERT_TRUE(storage.save(truncation));
    memory_storage reopened(files, own_settings);
    const auto state = reopened.open().value();
    EXPECT_FALSE(state.is_empty);
    EXPECT_EQ(state.initial.voters, (std::vector<node_id>{1, 2, 3}));
    ASSERT_EQ(state.entries.size(), 3U);
    EXPECT_EQ(state.entries[2].payload, "other");
    EXPECT_EQ(state.state, (hard_state{1, 2}));
}

TEST(raft_storage, cuts_a_torn_end_and_goes_on) {
    memory_file_system files;
    memory_storage storage(files, own_settings);
    ASSERT_TRUE(storage.open());
    ASSERT_TRUE(storage.write_initial_members({{1}, {}}));
    ASSERT_TRUE(storage.save(make_entries(1, 2, 1)));
    const auto intact_size = files.get_files()["log-000000000001"].size();
    ASSERT_TRUE(storage.save(make_entries(3, 2, 1)));
    files.get_files()["log-000000000001"].resize(intact_size + 11);
    memory_storage reopened(files, own_settings);
    const auto state = reopened.open().value();
    EXPECT_EQ(state.entries.size(), 2U);
    EXPECT_EQ(state.truncated_bytes, 11U);
    ASSERT_TRUE(reopened.save(make_entries(3, 1, 1)));
    memory_storage third(files, own_settings);
    EXPECT_EQ(third.open().value().entries.size(), 3U);
}

TEST(raft_storage, refuses_corruption_and_reports_its_offset) {
    memory_file_system files;
    memory_storage storage(files, own_settings);
    ASSERT_TRUE(storage.open());
    ASSERT_TRUE(storage.write_initial_members({{1}, {}}));
    const auto first_end = files.get_files()["log-000000000001"].size();
    ASSERT_TRUE(storage.save(make_entries(1, 2, 1)));
    ASSERT_TRUE(storage.save(make_entries(3, 2, 1)));
    files.get_files()["log-000000000001"][first_end + 20] ^= 1;
    memory_storage reopened(files, own_settings);
    EXPECT_EQ(reopened.open().error(), make_error_code(storage_errc::corrupt));
    EXPECT_EQ(reopened.get_error_location(), "log-000000000001 at offset " + std::to_string(first_end));
}

TEST(raft_storage, refuses_a_corrupt_snapshot_and_reports_its_offset) {
    memory_file_system files;
    memory_storage storage(files, own_settings);
    ASSERT_TRUE(storage.open());
    ASSERT_TRUE(storage.write_initial_members({{1}, {}}));
    ASSERT_TRUE(storage.save(make_entries(1, 2, 1)));
    const raft_snapshot snapshot{2, 1, {{1}, {}}, std::make_shared<const std::string>("state")};
    ASSERT_TRUE(storage.save_snapshot(snapshot, {1, 1}, {}));
    const auto intact = files.get_files()["snapshot"];
    for (std::size_t offset = 0; offset < intact.size(); ++offset) {
        files.get_files()["snapshot"] = intact;
        files.get_files()["snapshot"][offset] ^= 0x10;
        memory_storage reopened(files, own_settings);
        EXPECT_EQ(reopened.open().error(), make_error_code(storage_errc::corrupt)) << "byte " << offset;
        EXPECT_EQ(reopened.get_error_location(), "snapshot at offset 0");
    }
    // A truncated snapshot is refused too: the log that it replaced is gone and cannot be rebuilt.
    files.get_files()["snapshot"] = intact.substr(0, intact.size() / 2);
    memory_storage reopened(files, own_settings);
    EXPECT_EQ(reopened.open().error(), make_error_code(storage_errc::corrupt));
}

TEST(raft_storage, refuses_a_damaged_length_in_the_middle) {
    memory_file_system files;
    memory_storage storage(files, own_settings);
    ASSERT_TRUE(storage.open());
    ASSERT_TRUE(storage.write_initial_members({{1}, {}}));
    const auto first_end = files.get_files()["log-000000000001"].size();
    ASSERT_TRUE(storage.save(make_entries(1, 2, 1)));
    ASSERT_TRUE(storage.save(make_entries(3, 2, 1)));
    files.get_files()["log-000000000001"][first_end + 6] = 0x7f; // past the end of the file
    memory_storage reopened(files, own_settings);
    EXPECT_EQ(reopened.open().error(), make_error_code(storage_errc::corrupt));
}

TEST(raft_storage, refuses_a_folder_of_another_cluster_or_node) {
    memory_file_system files;
    memory_storage storage(files, own_settings);
    ASSERT_TRUE(storage.open());
    ASSERT_TRUE(storage.write_initial_members({{1}, {}}));
    EXPECT_EQ(memory_storage(files, {"other", 1}).open().error(),
              make_error_code(storage_errc::other_cluster));
    EXPECT_EQ(memory_storage(files, {"ring", 2}).open().error(), make_error_code(storage_errc::other_node));
}

TEST(raft_storage, starts_a_new_segment_with_a_snapshot) {
    memory_file_system files;
    memory_storage storage(files, own_settings);
    ASSERT_TRUE(storage.open());
    ASSERT_TRUE(storage.write_initial_members({{1}, {}}));
    ASSERT_TRUE(storage.save(make_entries(1, 10, 1)));
    const raft_snapshot snapshot{8, 1, {{1}, {}}, std::make_shared<const std::string>("state")};
    const auto tail = make_entries(9, 2, 1).entries;
    ASSERT_TRUE(storage.save_snapshot(snapshot, {1, 2}, tail));
    EXPECT_FALSE(files.get_files().contains("log-000000000001"));
    memory_storage reopened(files, own_settings);
    const auto state = reopened.open().value();
    EXPECT_EQ(*state.snapshot.data, "state");
    ASSERT_EQ(state.entries.size(), 2U);
    EXPECT_EQ(state.entries[0].index, 9U);
}

TEST(raft_storage, drops_a_log_that_does_not_lead_up_to_the_snapshot) {
    memory_file_system files;
    memory_storage storage(files, own_settings);
    ASSERT_TRUE(storage.open());
    ASSERT_TRUE(storage.write_initial_members({{1}, {}}));
    ASSERT_TRUE(storage.save(make_entries(1, 20, 2))); // entries of a deposed leader
    const int before = files.get_calls();
    // A snapshot of a newer term is installed. Power fails after its rename, before the log is reset.
    raft_output install;
    install.install = raft_snapshot{15, 5, {{1}, {}}, std::make_shared<const std::string>("new")};
    files.fail_after(5, storage_errc::io_failed); // remove, append, sync, rename and folder sync succeed
    EXPECT_FALSE(storage.save(install));
    EXPECT_GT(files.get_calls(), before);
    files.clear_failure();
    memory_storage reopened(files, own_settings);
    const auto state = reopened.open().value();
    EXPECT_EQ(state.snapshot.index, 15U);
    EXPECT_TRUE(state.entries.empty());
}

TEST(raft_storage, full_disk_loses_nothing_acknowledged) {
    memory_file_system files;
    memory_storage storage(files, own_settings);
    ASSERT_TRUE(storage.open());
    ASSERT_TRUE(storage.write_initial_members({{1}, {}}));
    ASSERT_TRUE(storage.save(make_entries(1, 2, 1)));
    files.fail_after(0, storage_errc::no_space);
    EXPECT_EQ(storage.save(make_entries(3, 2, 1)).error(), make_error_code(storage_errc::no_space));
    files.clear_failure();
    memory_storage reopened(files, own_settings);
    EXPECT_EQ(reopened.open().value().entries.size(), 2U);
}

/// Calls `save` while the disk is full and again when it has room.
template <class Save>
void save_when_there_is_room(memory_file_system& files, int full_calls, const Save& save) {
    files.set_full(true);
    for (int call = 0; call < full_calls; ++call) {
        RC_ASSERT(save().error() == make_error_code(storage_errc::no_space));
    }
    files.set_full(false);
    RC_ASSERT(save().has_value());
}

RC_GTEST_PROP(raft_storage, goes_on_after_a_full_disk_and_survives_a_power_cut, ()) {
    memory_file_system files;
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    log_index acknowledged = 0;
    for (int restart = 0; restart < 4; ++restart) {
        memory_storage storage(files, own_settings);
        const auto opened = storage.open();
        RC_ASSERT(opened.has_value());
        if (opened.value().is_empty) {
            save_when_there_is_room(files, *rc::gen::inRange(0, 3), [&] {
                return storage.write_initial_members({{1}, {}});
            });
        }
        const auto& state = opened.value();
        log_index next = state.snapshot.index + state.entries.size() + 1;
        RC_ASSERT(next > acknowledged);
        for (int number = 0; number < 6; ++number) {
            const auto output = make_entries(next, *rc::gen::inRange(1, 4), 1);
            const raft_snapshot snapshot{
                next + output.entries.size() - 1, 1, {{1}, {}}, std::make_shared<const std::string>("s")};
            raft_output installation;
            installation.install = snapshot;
            installation.state = hard_state{1, 2};
            const auto kind = *rc::gen::inRange(0, 4);
            const auto full_calls = *rc::gen::inRange(0, 3);
            if (kind == 0) {
                save_when_there_is_room(files, full_calls, [&] { return storage.save(installation); });
            } else {
                save_when_there_is_room(files, full_calls, [&] { return storage.save(output); });
            }
            if (kind == 1) {
                files.set_full(true);
                RC_ASSERT(!storage.save_snapshot(snapshot, {1, 2}, {}).has_value()); // given up
                files.set_full(false);
            }
            if (kind == 2) {
                save_when_there_is_room(files, full_calls, [&] {
                    return storage.save_snapshot(snapshot, {1, 2}, {});
                });
            }
            next += output.entries.size();
            acknowledged = next - 1;
        }
        files.fail_after(1, storage_errc::io_failed); // the power fails between the write and its sync
        static_cast<void>(storage.save(make_entries(next, 1, 1)));
        files.cut_power(random);
    }
}

RC_GTEST_PROP(raft_storage, survives_a_power_cut_at_any_call, ()) {
    memory_file_system files;
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    {
        memory_storage storage(files, own_settings);
        RC_ASSERT(storage.open().has_value());
        RC_ASSERT(storage.write_initial_members({{1}, {}}).has_value());
    }
    log_index acknowledged = 0;
    hard_state last_state;
    for (int restart = 0; restart < 5; ++restart) {
        memory_storage storage(files, own_settings);
        auto opened = storage.open();
        RC_ASSERT(opened.has_value());
        const auto& state = opened.value();
        const auto last = state.snapshot.index + state.entries.size();
        RC_ASSERT(last >= acknowledged);
        RC_ASSERT(state.state.term >= last_state.term);
        log_index next = last + 1;
        files.fail_after(*rc::gen::inRange(0, 60), storage_errc::io_failed);
        while (true) {
            const auto output = make_entries(next, *rc::gen::inRange(1, 4), last_state.term + 1);
            if (!storage.save(output)) {
                break;
            }
            next += output.entries.size();
            acknowledged = next - 1;
            last_state.term = output.state->term;
            if (*rc::gen::inRange(0, 4) == 0) {
                const raft_snapshot snapshot{
                    next - 1, last_state.term, {{1}, {}}, std::make_shared<const std::string>("s")};
                if (!storage.save_snapshot(snapshot, {last_state.term, 2}, {})) {
                    break;
                }
            }
        }
        files.cut_power(random);
    }
}

TEST(posix_file_system, locks_its_folder_against_a_second_process) {
    const auto folder =
        std::filesystem::temp_directory_path() / ("poplarpitch-lock-" + std::to_string(::getpid()));
    {
        posix_file_system first(folder.string());
        posix_file_system second(folder.string());
        ASSERT_TRUE(first.lock());
        EXPECT_EQ(second.lock().error(), make_error_code(storage_errc::folder_locked));
    }
    posix_file_system third(folder.string());
    EXPECT_TRUE(third.lock());
    std::filesystem::remove_all(folder);
}

TEST(posix_file_system, second_call_takes_a_lock_that_another_process_holds) {
    const auto folder =
        std::filesystem::temp_directory_path() / ("poplarpitch-relock-" + std::to_string(::getpid()));
    {
        posix_file_system second(folder.string());
        {
            posix_file_system first(folder.string());
            ASSERT_TRUE(first.lock());
            for (int call = 0; call < 2; ++call) {
                const auto locked = second.lock();
                ASSERT_FALSE(locked);
                EXPECT_EQ(locked.error(), make_error_code(storage_errc::folder_locked));
            }
        }
        EXPECT_TRUE(second.lock()) << "the first one has ended";
    }
    std::filesystem::remove_all(folder);
}

TEST(posix_file_system, reports_a_folder_that_cannot_be_created) {
    posix_file_system files("/proc/no-such-folder/data");
    EXPECT_EQ(files.lock().error(), make_error_code(storage_errc::folder_missing));
}

TEST(posix_file_system, stores_through_real_files) {
    const auto folder =
        std::filesystem::temp_directory_path() / ("poplarpitch-real-" + std::to_string(::getpid()));
    for (int restart = 0; restart < 3; ++restart) {
        posix_file_system files(folder.string());
        raft_storage<posix_file_system> storage(files, own_settings);
        const auto state = storage.open().value();
        if (restart == 0) {
            ASSERT_TRUE(storage.write_initial_members({{1}, {}}));
        }
        EXPECT_EQ(state.entries.size(), static_cast<std::size_t>(restart) * 2);
        ASSERT_TRUE(storage.save(make_entries(state.entries.size() + 1, 2, 1)));
    }
    std::filesystem::remove_all(folder);
}

} // namespace
} // namespace poplarpitch
