// Runs one scheduling policy on the benchmark's model of the installation and measures it.
#pragma once

#include "bench_world.hpp"

namespace fulmar::bench {

// Returns the bytes allocated so far. The program counts them in its operator new.
using allocation_counter = std::uint64_t (*)();

struct policy_variant {
    std::string_view name;
    policy_options options;
    bool oracle = false; // reads the true effects and slowdowns instead of learning them
};

struct run_result {
    world_totals totals;
    std::uint64_t signature = 0; // hash of all decisions
    double policy_s = 0.0;       // wall-clock time of the decisions
    double longest_tick_s = 0.0; // wall-clock time of the longest placement round
    double simulated_s = 0.0;
    std::uint64_t policy_bytes = 0;
    std::uint64_t rounds = 0;
    std::size_t running = 0; // tasks at the end of the run
    std::size_t waiting = 0; // tasks at the end of the run
};

// Simulates one variant of the policy. The same arguments give the same decisions and signature.
run_result run_variant(const world_size& size, const world_events& events,
                       const policy_variant& variant, std::uint64_t seed,
                       allocation_counter allocated);

// Returns the value below which the fraction `part` of the list lies; 0 for an empty list.
double percentile(std::vector<double> values, double part);

// Returns the slowdown below which the fraction `part` of the service task-seconds lies; 1 means no
// slowdown.
double slowdown_percentile(const world_totals& totals, double part);

// Returns the mean slowdown over all service task-seconds; 1 means no slowdown.
double mean_slowdown(const world_totals& totals);

} // namespace fulmar::bench
