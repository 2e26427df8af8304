// Bytes that are not UTF-8 in the texts of commands, snapshots and frames.
#include "poplarpitch/core/text.h"
#include "poplarpitch/scheduling/job_state_machine.h"
#include "poplarpitch/scheduling/report_checker.h"
#include "poplarpitch/scheduling/worker_report.h"
#include "poplarpitch/wire/scheduling.pb.h"
#include "unit_tests/support/generated_bytes.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace poplarpitch {
namespace {

/// Sets texts of a message and of the messages in it to random bytes. Returns false when one of a field of
/// type `string` is not UTF-8.
// NOLINTNEXTLINE(misc-no-recursion): messages contain messages
bool fill(google::protobuf::Message& message) {
    using field_type = google::protobuf::FieldDescriptor;
    const auto& access = *message.GetReflection();
    bool is_readable = true;
    const auto* choice =
        message.GetDescriptor()->oneof_decl_count() > 0 ? message.GetDescriptor()->oneof_decl(0) : nullptr;
    const auto* chosen =
        choice == nullptr ? nullptr : choice->field(*rc::gen::inRange(0, choice->field_count()));
    for (int index = 0; index < message.GetDescriptor()->field_count(); ++index) {
        const auto* field = message.GetDescriptor()->field(index);
        const bool is_other_choice = field->containing_oneof() != nullptr && field != chosen;
        if (is_other_choice || *rc::gen::inRange(0, 3) == 0) {
            continue;
        }
        if (field->cpp_type() == field_type::CPPTYPE_MESSAGE) {
            auto* part = field->is_repeated() ? access.AddMessage(&message, field)
                                              : access.MutableMessage(&message, field);
            is_readable = fill(*part) && is_readable;
        } else if (field->cpp_type() == field_type::CPPTYPE_STRING) {
            const auto text = generate_bytes();
            is_readable = is_readable && (field->type() == field_type::TYPE_BYTES || is_utf8(text));
            field->is_repeated() ? access.AddString(&message, field, text)
                                 : access.SetString(&message, field, text);
        }
    }
    return is_readable;
}

// The check at the doors must agree with the parser of the log, or a text that passes makes a batch
// unreadable.
RC_GTEST_PROP(unreadable_text, is_found_in_every_text_field_of_a_command, ()) {
    job_wire::job_command command;
    const bool is_readable = fill(command);
    job_wire::job_command parsed;
    RC_ASSERT(parsed.ParseFromString(command.SerializeAsString()) == is_readable);
}

// One unreadable field lost the orders, answers and heartbeats of others in the same frame.
RC_GTEST_PROP(unreadable_text, leaves_every_frame_of_the_scheduler_readable, ()) {
    job_wire::cluster_frame frame;
    static_cast<void>(fill(frame));
    job_wire::cluster_frame parsed;
    RC_ASSERT(parsed.ParseFromString(frame.SerializeAsString()));
    RC_ASSERT(parsed.SerializeAsString() == frame.SerializeAsString());
}

/// Returns the names of all fields of type `string` in a message and in those that it contains.
// NOLINTNEXTLINE(misc-no-recursion): messages contain messages
void collect_string_fields(const google::protobuf::Descriptor& type, std::vector<std::string>& names) {
    for (int index = 0; index < type.field_count(); ++index) {
        const auto& field = *type.field(index);
        if (field.type() == google::protobuf::FieldDescriptor::TYPE_STRING) {
            names.push_back(field.full_name());
        } else if (field.message_type() != nullptr) {
            collect_string_fields(*field.message_type(), names);
        }
    }
}

// A new field of type `string` would bring back frames that one text makes unreadable.
TEST(unreadable_text, has_no_place_in_the_fields_of_a_frame) {
    std::vector<std::string> names;
    collect_string_fields(*job_wire::cluster_frame::descriptor(), names);
    EXPECT_EQ(names, std::vector<std::string>{});
}

// A state that applied commands have built must be readable from its snapshot, whatever bytes they had.
RC_GTEST_PROP(unreadable_text, leaves_every_snapshot_readable, ()) {
    job_state_machine state;
    const int count = *rc::gen::inRange(1, 12);
    for (int number = 0; number < count; ++number) {
        job_wire::job_command command;
        static_cast<void>(fill(command));
        if (command.has_submit()) {
            command.mutable_submit()->mutable_job()->set_id(static_cast<std::uint64_t>(number));
        }
        job_wire::job_command parsed;
        if (parsed.ParseFromString(command.SerializeAsString())) { // others never reach the state
            std::vector<job_state_event> events;
            state.apply(parsed, events);
        }
    }
    const auto saved = state.save();
    job_state_machine loaded;
    RC_ASSERT(loaded.load(saved));
    RC_ASSERT(loaded.save() == saved);
}

TEST(unreadable_text, is_found_in_every_text_of_a_report) {
    worker_report valid;
    valid.incarnation.id = "i-7f";
    valid.pool = "mill";
    valid.labels = {"a"};
    EXPECT_EQ(find_report_error(valid), std::nullopt);
    const std::string bytes = "i-7f\xe9\xff";
    std::vector<worker_report> reports(7, valid);
    reports[0].incarnation.id = bytes;
    reports[1].address = bytes;
    reports[2].pool = bytes;
    reports[3].data_centre = bytes;
    reports[4].machine = bytes;
    reports[5].rack = bytes;
    reports[6].labels.push_back(bytes);
    for (std::size_t index = 0; index < reports.size(); ++index) {
        EXPECT_TRUE(find_report_error(reports[index]).has_value()) << "text " << index;
    }
}

} // namespace
} // namespace poplarpitch
