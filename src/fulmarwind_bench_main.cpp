// Deterministic benchmark of the scheduling policy. Prints a signature (hash) of all decisions at
// the end.
#include "bench_run.hpp"

#include <fmt/format.h>
#include <popt.h>
#include <xxhash.h>

#include <sys/resource.h>

#include <cstdlib>
#include <new>

namespace {

std::uint64_t allocated_bytes = 0;

} // namespace

// Counts allocated bytes, to report bytes per start. The program has one thread.
// NOLINTBEGIN(cppcoreguidelines-no-malloc,misc-new-delete-overloads)
void* operator new(std::size_t size) {
    allocated_bytes += size;
    if (void* memory = std::malloc(size == 0 ? 1 : size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept {
    std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept {
    std::free(memory);
}
// NOLINTEND(cppcoreguidelines-no-malloc,misc-new-delete-overloads)

namespace fulmar::bench {

namespace {

constexpr std::uint64_t seed = 20'261'204;

constexpr world_size today{"today", 150, 6, 190, 790, 4'320, 270, 112.0};
constexpr world_size design{"design", 590, 30, 750, 3'100, 17'000, 270, 440.0};
constexpr world_size design_4x{"design-4x", 2'360, 120, 3'000, 12'400, 68'000, 270, 1'760.0};
constexpr world_size design_10x{"design-10x", 5'900, 300, 7'500, 31'000, 170'000, 270, 4'400.0};

constexpr world_events full_run{1'500, 300, 700, 1'000, 1'250, 400, 900};
constexpr world_events quick_run{400, 150, 200, 260, 330, 170, 300};
constexpr world_events scale_run{240, 120, 10'000, 10'000, 10'000, 10'000, 10'000};

policy_variant make_variant(std::string_view name, placement_kind kind, bool model) {
    policy_variant variant{name, {}, false};
    variant.options.kind = kind;
    variant.options.interference_model = model;
    return variant;
}

std::vector<policy_variant> make_variants() {
    std::vector<policy_variant> variants{
        make_variant("policy", placement_kind::full, true),
        make_variant("first-fit", placement_kind::first_fit, false),
        make_variant("least-loaded", placement_kind::least_loaded, false),
        make_variant("no-model", placement_kind::full, false),
        make_variant("oracle", placement_kind::full, true),
        make_variant("reserve-5%", placement_kind::full, true),
        make_variant("evict-only", placement_kind::full, true)};
    variants[1].options.urgent_reserve_percent = 0;
    variants[2].options.urgent_reserve_percent = 0;
    variants[4].oracle = true;
    variants[4].options.learn_effects = false;
    variants[5].options.urgent_evicts = false;
    variants[5].options.urgent_reserve_percent = 5;
    variants[6].options.urgent_reserve_percent = 0;
    return variants;
}

std::uint64_t count_allocated() {
    return allocated_bytes;
}

double to_megabytes(long kibibytes) {
    return static_cast<double>(kibibytes) / 1'024.0;
}

double peak_memory() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return to_megabytes(usage.ru_maxrss);
}

std::uint64_t all_evictions(const world_totals& totals) {
    return totals.evictions_urgent + totals.evictions_interference;
}

double per_start(double amount, const run_result& run) {
    return amount / static_cast<double>(std::max<std::uint64_t>(1, run.totals.starts));
}

// Prints the simulated results of the decisions, which are the same in every run with the same
// seed.
void print_effects(std::string_view name, const run_result& run) {
    const auto& totals = run.totals;
    fmt::print("{:<13}{:>8.1f}{:>9.2f}{:>9.2f}{:>8}{:>8}{:>7}{:>11.0f}{:>11.0f}{:>8.4f}{:>7.2f}"
               "{:>6}/{:<6}{:>7}{:>7}\n",
               name, static_cast<double>(totals.starts) / run.simulated_s,
               percentile(totals.urgent_decided_s, 0.99), percentile(totals.urgent_running_s, 0.99),
               totals.evictions_urgent, totals.evictions_interference, totals.evictions_drain,
               totals.batch_work, totals.window_work, mean_slowdown(totals),
               slowdown_percentile(totals, 0.99), totals.deadlines_met, totals.deadlines,
               run.waiting, totals.longest_wait_s);
}

void print_effects_header() {
    fmt::print("{:<13}{:>8}{:>9}{:>9}{:>8}{:>8}{:>7}{:>11}{:>11}{:>8}{:>7}{:>13}{:>7}{:>7}\n",
               "policy", "start/s", "urgent_d", "urgent_r", "ev_urg", "ev_intf", "ev_dr", "work",
               "dc_work", "slow", "slow99", "deadlines", "wait", "wait_s");
}

// Prints the time and memory that the decisions took, which differ from run to run.
void print_cost(std::string_view name, const run_result& run) {
    fmt::print("{:<13}{:>9.2f} us/start{:>8.2f}% of a core at {:.0f} starts/s{:>9.0f} "
               "bytes/start, longest round {:.2f} ms, peak memory {:.0f} MB\n",
               name, per_start(run.policy_s * 1e6, run), 100.0 * run.policy_s / run.simulated_s,
               static_cast<double>(run.totals.starts) / run.simulated_s,
               per_start(static_cast<double>(run.policy_bytes), run), run.longest_tick_s * 1e3,
               peak_memory());
}

void print_health(const run_result& run) {
    const auto& totals = run.totals;
    fmt::print("faults: {} quarantines ({} of healthy workers), {} tasks parked ({} wrongly), {} "
               "refused, {} cancelled, {} finished\n",
               totals.quarantines, totals.healthy_quarantines, totals.parked, totals.wrongly_parked,
               totals.refused, totals.cancelled, totals.finished);
}

struct signature_chain {
    std::uint64_t value = seed;
};

void add(signature_chain& chain, std::uint64_t signature) {
    const std::array<std::uint64_t, 2> both{chain.value, signature};
    chain.value = XXH64(both.data(), sizeof(both), seed);
}

void compare(const world_size& size, const world_events& events, signature_chain& chain) {
    fmt::print("\n{}: {} workers, {} cells, {} accelerators, {} latency-critical and {} batch "
               "tasks, {} teams, {} starts/s, {} s simulated\n",
               size.name, size.workers, size.cells, size.accelerators, size.services, size.batch,
               size.teams, size.starts_per_second,
               (events.steps - events.warm_up) * step_length.count() / 1'000);
    print_effects_header();
    const auto variants = make_variants();
    std::vector<run_result> runs;
    for (const auto& variant : variants) {
        runs.push_back(run_variant(size, events, variant, seed, count_allocated));
        print_effects(variant.name, runs.back());
        add(chain, runs.back().signature);
    }
    print_health(runs[0]);
    const auto& own = runs[0].totals;
    const auto& limit = runs[4].totals;
    fmt::print("against the oracle: {:.1f}% of its batch work, {:.3f} of its service slowdown; "
               "against no-model: {:.1f}% of its evictions\n",
               100.0 * own.batch_work / limit.batch_work, mean_slowdown(own) / mean_slowdown(limit),
               100.0 * static_cast<double>(all_evictions(own)) /
                   static_cast<double>(std::max<std::uint64_t>(1, all_evictions(runs[3].totals))));
    for (std::size_t i = 0; i < runs.size(); ++i) {
        print_cost(variants[i].name, runs[i]);
    }
}

void compare_scales(signature_chain& chain) {
    fmt::print("\nscales: cost of the policy by number of workers\n");
    for (const auto& size : {design, design_4x, design_10x}) {
        const auto run =
            run_variant(size, scale_run, make_variants().front(), seed, count_allocated);
        print_cost(size.name, run);
        add(chain, run.signature);
    }
}

int run(bool quick) {
    signature_chain chain;
    compare(today, quick ? quick_run : full_run, chain);
    if (!quick) {
        compare(design, full_run, chain);
        compare_scales(chain);
    }
    fmt::print("signature: {:016x}\n", chain.value);
    return EXIT_SUCCESS;
}

} // namespace

} // namespace fulmar::bench

int main(int argc, const char** argv) {
    int quick = 0;
    const std::array<poptOption, 3> options{
        {{"quick", 0, POPT_ARG_NONE, &quick, 0, "run only the smaller size, shorter", nullptr},
         POPT_AUTOHELP POPT_TABLEEND}};
    const auto context = poptGetContext("fulmarwind-bench", argc, argv, options.data(), 0);
    const int parsed = poptGetNextOpt(context);
    if (parsed < -1) {
        fmt::print(stderr, "{}: {}\n", poptBadOption(context, 0), poptStrerror(parsed));
        poptFreeContext(context);
        return 2;
    }
    poptFreeContext(context);
    return fulmar::bench::run(quick != 0);
}
