#include "fulmar/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace fulmar {

namespace {

prometheus::Labels reason_label(std::string_view reason) {
    return reason.empty() ? prometheus::Labels{}
                          : prometheus::Labels{{"reason", std::string(reason)}};
}

} // namespace

metrics::metrics()
    : registry_(std::make_shared<prometheus::Registry>()) {}

void metrics::count(std::string_view name, std::string_view reason, double amount) {
    const std::lock_guard lock(mutex_);
    auto& counter = counters_[{std::string(name), std::string(reason)}];
    if (counter == nullptr) {
        auto& family = prometheus::BuildCounter().Name(std::string(name)).Register(*registry_);
        counter = &family.Add(reason_label(reason));
    }
    counter->Increment(amount);
}

void metrics::set(std::string_view name, double value, std::string_view reason) {
    const std::lock_guard lock(mutex_);
    auto& gauge = gauges_[{std::string(name), std::string(reason)}];
    if (gauge == nullptr) {
        auto& family = prometheus::BuildGauge().Name(std::string(name)).Register(*registry_);
        gauge = &family.Add(reason_label(reason));
    }
    gauge->Set(value);
}

double metrics::value(std::string_view name, std::string_view reason) const {
    const std::lock_guard lock(mutex_);
    const auto found = counters_.find({std::string(name), std::string(reason)});
    return found == counters_.end() ? 0 : found->second->Value();
}

std::string metrics::serialize() const {
    const auto families = registry_->Collect();
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace fulmar
