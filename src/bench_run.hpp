// Runs one policy over the benchmark's world and measures it.
#pragma once

#include "bench_world.hpp"

namespace fulmar::bench {

// Bytes allocated so far by this thread; the program counts them in its operator new.
using allocation_counter = std::uint64_t (*)();

struct policy_variant {
    std::string_view name;
    policy_options options;
    bool oracle = false;
};

struct run_result {
    world_totals totals;
    std::uint64_t signature = 0; // of all decisions
    double policy_s = 0.0;       // real time spent in decisions
    double longest_tick_s = 0.0;
    double simulated_s = 0.0;
    std::uint64_t policy_bytes = 0;
    std::uint64_t rounds = 0;
    std::size_t running = 0; // tasks at the end
    std::size_t waiting = 0;
};

// Runs a variant. The same arguments give the same decisions and signature.
run_result run_variant(const world_size& size, const world_events& events,
                       const policy_variant& variant, std::uint64_t seed,
                       allocation_counter allocated);

// Returns the value below which the given part of the list lies; 0 for an empty list.
double percentile(std::vector<double> values, double part);

// Returns the slowdown below which the given part of the service-seconds lies.
double slowdown_percentile(const world_totals& totals, double part);

double mean_slowdown(const world_totals& totals);

} // namespace fulmar::bench
