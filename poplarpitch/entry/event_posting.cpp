#include "poplarpitch/entry/event_posting.h"

#include "poplarpitch/entry/entry_state.h"

#include <memory>

namespace poplarpitch {

void post_events(event_batcher<control_client>& batcher, entry_state& state,
                 std::vector<wire::command>&& events) {
    const auto sent = std::make_shared<const std::vector<wire::command>>(events);
    batcher.post(std::move(events), [sent, &state](const auto& outcomes) {
        if (!outcomes) {
            return;
        }
        for (const auto& command : *sent) {
            if (command.has_event()) {
                state.on_event_committed(command.event().worker(), command.event());
            }
        }
    });
}

} // namespace poplarpitch
