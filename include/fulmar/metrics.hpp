// Counters, gauges and histograms by name and reason, exported in the Prometheus text format.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace fulmar {

// The metrics of one process. Thread-safe.
class metrics {
  public:
    metrics();

    // Increments the counter `name`, labelled with the reason unless that is empty.
    void count(std::string_view name, std::string_view reason = {}, double amount = 1);

    // Sets the gauge `name`, labelled with the reason unless that is empty.
    void set(std::string_view name, double value, std::string_view reason = {});

    // Records a value in milliseconds in the histogram `name`, labelled with the reason unless that
    // is empty.
    void observe(std::string_view name, double milliseconds, std::string_view reason = {});

    // Returns the current value of a counter or a gauge; 0 if it was never incremented or set.
    double value(std::string_view name, std::string_view reason = {}) const;

    // Returns all metrics in the Prometheus text format.
    std::string serialize() const;

  private:
    using series = std::pair<std::string, std::string>;
    using series_view = std::pair<std::string_view, std::string_view>;

    // Transparent comparison, so that a lookup does not copy the name.
    struct series_less {
        using is_transparent = void;

        bool operator()(const series_view& a, const series_view& b) const { return a < b; }
    };

    mutable std::mutex mutex_;
    std::shared_ptr<prometheus::Registry> registry_;
    std::map<series, prometheus::Counter*, series_less> counters_;
    std::map<series, prometheus::Gauge*, series_less> gauges_;
    std::map<series, prometheus::Histogram*, series_less> histograms_;
};

} // namespace fulmar
