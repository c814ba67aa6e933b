#include "endpoint_model.hpp"

#include <array>
#include <cassert>
#include <cmath>

namespace fulmar {

namespace {

constexpr std::array<std::string_view, 9> fault_names{"none",      "die_before", "die_during",
                                                      "die_after", "truncate",   "pause",
                                                      "late",      "leaving",    "refuse"};
static_assert(fault_names.size() == static_cast<std::size_t>(endpoint_fault::refuse) + 1);

} // namespace

std::optional<endpoint_fault> parse_endpoint_fault(std::string_view name) {
    for (std::size_t i = 0; i < fault_names.size(); ++i) {
        if (fault_names[i] == name) {
            return static_cast<endpoint_fault>(i);
        }
    }
    return std::nullopt;
}

admission admit_request(endpoint_model& model) {
    if (model.refusing) {
        return admission::refuse;
    }
    if (model.running < model.slots) {
        ++model.running;
        return admission::run;
    }
    if (model.queued < model.queue_limit) {
        ++model.queued;
        return admission::wait;
    }
    return admission::refuse;
}

bool release_slot(endpoint_model& model) {
    assert(model.running > 0);
    if (model.queued > 0) {
        --model.queued;
        return true;
    }
    --model.running;
    return false;
}

void count_execution(endpoint_model& model, const std::string& request) {
    if (!request.empty()) {
        ++model.executions[request];
    }
}

std::chrono::microseconds draw_service_time(endpoint_model& model) {
    if (model.kind == service_time_kind::fixed || model.service_time.count() == 0) {
        return model.service_time;
    }
    // std::exponential_distribution is not used, because its values differ between standard
    // libraries.
    const double uniform = (static_cast<double>(model.random() >> 11) + 1) / 9007199254740993.0;
    return std::chrono::microseconds(static_cast<std::int64_t>(
        -std::log(uniform) * static_cast<double>(model.service_time.count())));
}

endpoint_fault pick_fault(endpoint_model& model, std::optional<endpoint_fault> named) {
    ++model.requests;
    if (named) {
        return *named;
    }
    return model.requests % model.fault_interval == 0 ? model.default_fault : endpoint_fault::none;
}

} // namespace fulmar
