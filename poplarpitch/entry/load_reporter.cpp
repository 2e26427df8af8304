#include "poplarpitch/entry/load_reporter.h"

#include "poplarpitch/state/amounts_codec.h"

#include <algorithm>
#include <cmath>

namespace poplarpitch {
namespace {

constexpr duration repeat_after = seconds{5};
constexpr double factor_step = 0.1; // minimum change of slowdown or speed that is reported
constexpr double rate_share = 0.25; // minimum relative change of a service's request rate that is reported
constexpr double rate_step = 1.0;   // requests per second; smaller changes are not significant

bool is_rate_changed(const wire::worker_load& now, const wire::worker_load& before) {
    return std::any_of(now.rates().begin(), now.rates().end(), [&](const auto& item) {
        const auto old = before.rates().find(item.first);
        const double value = old == before.rates().end() ? 0 : old->second;
        return std::abs(item.second - value) > rate_step + rate_share * value;
    });
}

bool is_changed(const wire::worker_load& now, const wire::worker_load& before) {
    auto requests = decode(now.requests());
    auto old_requests = decode(before.requests());
    requests.slots = 0; // only the entry uses the slots, and they change constantly
    old_requests.slots = 0;
    return now.ready() != before.ready() || now.leaving() != before.leaving() ||
           now.relieved() != before.relieved() || requests != old_requests ||
           std::abs(now.slowdown() - before.slowdown()) > factor_step ||
           std::abs(now.speed() - before.speed()) > factor_step || is_rate_changed(now, before);
}

} // namespace

void load_reporter::set_term(std::uint64_t term) {
    if (term != m_term) {
        m_term = term;
        m_sent.clear();
    }
}

bool load_reporter::mark_sent_if_due(const wire::worker_load& load, time_point now) {
    auto& sent = m_sent[load.worker()];
    const bool is_first = sent.at == time_point{};
    if (!is_first && now - sent.at < repeat_after && !is_changed(load, sent.load)) {
        return false;
    }
    sent = {load, now};
    return true;
}

void load_reporter::forget(const std::string& worker) {
    m_sent.erase(worker);
}

} // namespace poplarpitch
