#include "poplarpitch/net/net_error.h"

#include <string>

namespace poplarpitch {
namespace {

class net_category final : public std::error_category {
public:
    const char* name() const noexcept override { return "net"; }

    std::string message(int code) const override {
        switch (static_cast<net_errc>(code)) {
        case net_errc::unreachable:
            return "no connection could be established";
        case net_errc::not_sent:
            return "no connection was free in time";
        case net_errc::timed_out:
            return "no answer arrived in time";
        case net_errc::broken:
            return "the connection ended before the answer arrived";
        case net_errc::bad_answer:
            return "the answer cannot be parsed";
        case net_errc::listen_failed:
            return "cannot listen on the address";
        }
        return "unknown network error";
    }
};

} // namespace

const std::error_category& get_net_category() noexcept {
    static const net_category category;
    return category;
}

std::error_code make_error_code(net_errc code) noexcept {
    return {static_cast<int>(code), get_net_category()};
}

} // namespace poplarpitch
