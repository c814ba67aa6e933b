#include "fulmar/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace fulmar {

namespace {

prometheus::Labels reason_label(std::string_view reason) {
    return reason.empty() ? prometheus::Labels{}
                          : prometheus::Labels{{"reason", std::string(reason)}};
}

// Bucket bounds in milliseconds, from one network hop within a data centre to the longest timeout
// of a caller.
const prometheus::Histogram::BucketBoundaries millisecond_bounds{
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1'000, 2'000, 5'000, 10'000};

} // namespace

metrics::metrics()
    : registry_(std::make_shared<prometheus::Registry>()) {}

void metrics::count(std::string_view name, std::string_view reason, double amount) {
    const std::lock_guard lock(mutex_);
    auto found = counters_.find(series_view{name, reason});
    if (found == counters_.end()) {
        auto& family = prometheus::BuildCounter().Name(std::string(name)).Register(*registry_);
        found = counters_.emplace(series{name, reason}, &family.Add(reason_label(reason))).first;
    }
    found->second->Increment(amount);
}

void metrics::set(std::string_view name, double value, std::string_view reason) {
    const std::lock_guard lock(mutex_);
    auto found = gauges_.find(series_view{name, reason});
    if (found == gauges_.end()) {
        auto& family = prometheus::BuildGauge().Name(std::string(name)).Register(*registry_);
        found = gauges_.emplace(series{name, reason}, &family.Add(reason_label(reason))).first;
    }
    found->second->Set(value);
}

void metrics::observe(std::string_view name, double milliseconds, std::string_view reason) {
    const std::lock_guard lock(mutex_);
    auto found = histograms_.find(series_view{name, reason});
    if (found == histograms_.end()) {
        auto& family = prometheus::BuildHistogram().Name(std::string(name)).Register(*registry_);
        found = histograms_
                    .emplace(series{name, reason},
                             &family.Add(reason_label(reason), millisecond_bounds))
                    .first;
    }
    found->second->Observe(milliseconds);
}

double metrics::value(std::string_view name, std::string_view reason) const {
    const std::lock_guard lock(mutex_);
    if (const auto found = counters_.find(series_view{name, reason}); found != counters_.end()) {
        return found->second->Value();
    }
    const auto found = gauges_.find(series_view{name, reason});
    return found == gauges_.end() ? 0 : found->second->Value();
}

std::string metrics::serialize() const {
    const auto families = registry_->Collect();
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace fulmar
