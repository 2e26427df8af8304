#include "poplarpitch/transport/transport_error.h"

#include <string>

namespace poplarpitch {
namespace {

class transport_category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "transport"; }

    [[nodiscard]] std::string message(int code) const override {
        switch (static_cast<transport_errc>(code)) {
        case transport_errc::unreachable:
            return "the peer cannot be reached";
        case transport_errc::timed_out:
            return "no answer came in time";
        case transport_errc::no_leader:
            return "no control instance leads";
        case transport_errc::refused:
            return "the peer refused";
        case transport_errc::too_large:
            return "the answer is too large";
        case transport_errc::bad_answer:
            return "the answer cannot be read";
        case transport_errc::listen_failed:
            return "cannot listen on the address";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category& get_transport_category() noexcept {
    static const transport_category category;
    return category;
}

std::error_code make_error_code(transport_errc code) noexcept {
    return {static_cast<int>(code), get_transport_category()};
}

} // namespace poplarpitch
