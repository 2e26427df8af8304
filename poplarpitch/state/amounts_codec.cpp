#include "poplarpitch/state/amounts_codec.h"

#include "poplarpitch/wire/poplarpitch.pb.h"

namespace poplarpitch {

void encode(const resources& value, wire::amounts& message) {
    message.set_slots(value.slots);
    message.set_millicores(value.millicores);
    message.set_memory(value.memory);
    message.set_accelerators(value.accelerators);
}

resources decode(const wire::amounts& message) {
    return {message.slots(), message.millicores(), message.memory(), message.accelerators()};
}

} // namespace poplarpitch
