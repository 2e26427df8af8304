// Records of what leaders learn, in the replicated state: the newest of each part, bounded in number and
// size, also through a snapshot.
#include "poplarpitch/scheduling/learned_record.h"

#include "poplarpitch/scheduling/job_codec.h"
#include "poplarpitch/scheduling/job_state_machine.h"
#include "poplarpitch/wire/scheduling.pb.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace poplarpitch {
namespace {

constexpr std::int64_t wall_ms = 1'700'000'000'000;
constexpr std::size_t max_total_bytes = 65'536;

void note(job_state_machine& job_state, const std::vector<learned_record>& records) {
    job_wire::job_command command;
    encode(records, *command.mutable_learned());
    std::vector<job_state_event> events;
    EXPECT_EQ(job_state.apply(command, events), command_outcome::applied);
    EXPECT_TRUE(events.empty()) << "no decision rests on the command";
}

const learned_record* find(const job_state_machine& job_state, const std::string& part) {
    const auto& records = job_state.get_learned();
    const auto found = std::find_if(records.begin(), records.end(),
                                    [&](const learned_record& record) { return record.part == part; });
    return found == records.end() ? nullptr : &*found;
}

std::size_t count_bytes(const job_state_machine& job_state) {
    std::size_t bytes = 0;
    for (const auto& record : job_state.get_learned()) {
        bytes += record.part.size() + record.body.size();
    }
    return bytes;
}

/// Guards against a snapshot that loses a record, or brings back a replaced one.
TEST(learned_record, keeps_the_newest_record_of_each_part_also_through_a_snapshot) {
    job_state_machine job_state;
    const std::string bytes("\0\xff\x01", 3);
    note(job_state, {{"quota", 1, "old", wall_ms}, {"demand", 1, bytes, wall_ms}});
    note(job_state, {{"quota", 2, "new", wall_ms + 2000}});
    job_state_machine other;
    ASSERT_TRUE(other.load(job_state.save()));
    EXPECT_EQ(other.get_learned(), job_state.get_learned());
    ASSERT_EQ(other.get_learned().size(), 2U);
    EXPECT_EQ(*find(other, "quota"), (learned_record{"quota", 2, "new", wall_ms + 2000}));
    EXPECT_EQ(*find(other, "demand"), (learned_record{"demand", 1, bytes, wall_ms}));
    EXPECT_EQ(other.save(), job_state.save());
}

/// Guards against a snapshot that grows with each version's part names, and against old names that keep new
/// ones out.
TEST(learned_record, replaces_the_oldest_part_when_there_are_too_many) {
    job_state_machine job_state;
    constexpr int parts = 40;
    for (int part = 0; part < parts; ++part) {
        note(job_state, {{"part" + std::to_string(part), 1, "body", wall_ms + part}});
    }
    EXPECT_EQ(job_state.get_learned().size(), 16U);
    EXPECT_NE(find(job_state, "part39"), nullptr);
    EXPECT_EQ(find(job_state, "part0"), nullptr);
    // The clock of the next leader is an hour behind, so its record is the oldest by its time.
    note(job_state, {{"late", 1, "body", wall_ms - 3'600'000}});
    EXPECT_NE(find(job_state, "late"), nullptr);
    EXPECT_EQ(job_state.get_learned().size(), 16U);
}

/// Guards against a snapshot that exceeds 64 KB of records by large bodies.
TEST(learned_record, keeps_all_records_together_under_their_bound) {
    job_state_machine job_state;
    constexpr std::size_t body_bytes = 10'000;
    for (int part = 0; part < 10; ++part) {
        note(job_state, {{"part" + std::to_string(part), 1, std::string(body_bytes, 'x'), wall_ms + part}});
        EXPECT_LE(count_bytes(job_state), max_total_bytes);
    }
    EXPECT_NE(find(job_state, "part9"), nullptr);
    note(job_state, {{"part9", 1, std::string(max_total_bytes, 'x'), wall_ms + 20}});
    EXPECT_EQ(find(job_state, "part9")->body.size(), body_bytes) << "one that can't fit changes nothing";
    job_state_machine other;
    ASSERT_TRUE(other.load(job_state.save()));
    EXPECT_EQ(other.get_learned(), job_state.get_learned());
}

/// Guards against a snapshot of an older version that is refused, and against records that outlive it.
TEST(learned_record, reads_a_snapshot_without_records) {
    job_state_machine job_state;
    const auto without = job_state.save();
    job_wire::job_book_snapshot older;
    ASSERT_TRUE(older.ParseFromString(without));
    EXPECT_FALSE(older.has_learned()) << "with nothing learned a snapshot is as it was before";
    note(job_state, {{"quota", 1, "body", wall_ms}});
    ASSERT_TRUE(job_state.load(without));
    EXPECT_TRUE(job_state.get_learned().empty());
}

/// An instance of an older version sees an unknown kind of command. This one refuses such a command without
/// any effect, and versions before `note_learned` have the same rule.
TEST(learned_record, ignores_an_unknown_kind_of_command) {
    job_state_machine job_state;
    const auto before = job_state.save();
    job_wire::job_command command;
    constexpr char unknown_field[] = "\xa2\x06\x01x"; // field 100, length-delimited, one byte
    ASSERT_TRUE(command.ParseFromArray(unknown_field, 4));
    std::vector<job_state_event> events;
    EXPECT_EQ(job_state.apply(command, events), command_outcome::refused);
    EXPECT_EQ(job_state.save(), before);
}

} // namespace
} // namespace poplarpitch
