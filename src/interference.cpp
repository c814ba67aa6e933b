#include "interference.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <numeric>

namespace fulmar {

namespace {

// Prior of a pair without samples. It assumes a little interference, so that pairs known to be
// harmless are preferred and unknown pairs are still tried. The deviation matches the spread of
// real effects: most pairs are harmless, some add more than the run time itself.
constexpr double unknown_effect = 0.12;
constexpr double unknown_deviation = 0.4;

// Separates harmless from harmful effects: estimates of harmless ones vary up to about 0.3, those
// of harmful ones stay above 0.5.
constexpr double mild_effect = 0.4;
constexpr double max_effect = 10.0;
constexpr double max_slowdown = 3.0;

// Deviation of slot 0, which holds the slowdown that is independent of batch classes.
constexpr double base_deviation = 0.05;

// Bounds the memory and time of an update. Batch classes beyond it keep the default effect.
constexpr std::size_t max_slots = 64;

// Deviation of one sample, and of the part that samples of the same time have in common, which
// averaging does not reduce.
constexpr double sample_deviation = 0.2;
constexpr double common_deviation = 0.07;

// Residuals are limited to this many deviations, because the noise has heavy tails.
constexpr double max_residual_deviations = 2.5;

// Growth of the variances per update, so that the estimates follow changes of the load.
constexpr double variance_growth = 1.0005;

// Smoothing factor of the slowdown that decides on responses. With a sample every 2 s it averages
// over about 8 s.
constexpr double response_weight = 0.25;
constexpr duration raise_delay{4'000};
constexpr duration lower_delay{10'000};

// Samples arrive late, so the effect of an eviction is visible only after this time.
constexpr duration eviction_interval{8'000};
constexpr std::int64_t throttled_share = 50;

// A class is throttled or evicted only if the model attributes at least this slowdown to it. A
// smaller slowdown is noise, which a response would not end.
constexpr double min_attributed_slowdown = 0.2;

struct class_load {
    std::size_t index = 0;
    double load = 0.0; // running processors as a fraction of the worker's processors
};

double as_share(std::int64_t processors, const cell_worker& worker) {
    const auto whole = std::max<std::int64_t>(1, worker.capacity.processors.value);
    return static_cast<double>(processors) / static_cast<double>(whole);
}

// Returns the loads of the batch classes that ran on a worker at an earlier time.
std::vector<class_load> loads_at(const cell_tables& tables, const cell_worker& worker,
                                 time_point at) {
    std::vector<class_load> loads;
    const auto add = [&](std::size_t index, std::int64_t processors) {
        if (tables.classes[index].latency_critical) {
            return;
        }
        for (auto& entry : loads) {
            if (entry.index == index) {
                entry.load += as_share(processors, worker);
                return;
            }
        }
        loads.push_back({index, as_share(processors, worker)});
    };
    for (const auto& resident : worker.resident_classes) {
        add(resident.index, resident.running);
    }
    for (auto change = worker.changes.rbegin(); change != worker.changes.rend() && change->at > at;
         ++change) {
        add(change->index, -change->processors);
    }
    return loads;
}

// Returns the slot of a batch class in the estimates, assigning one if necessary. Returns no_index
// when no slot is left.
std::size_t find_slot(cell_tables& tables, std::size_t batch) {
    auto& row = tables.classes[batch];
    if (row.slot == no_index && tables.effect_slots < max_slots) {
        row.slot = tables.effect_slots++;
    }
    return row.slot;
}

// Returns the estimates of a service class, extended to all assigned slots.
effect_estimates& find_estimates(cell_tables& tables, std::size_t service) {
    if (tables.effects.size() <= service) {
        tables.effects.resize(service + 1);
    }
    auto& estimates = tables.effects[service];
    const std::size_t old_size = estimates.mean.size();
    const std::size_t size = tables.effect_slots;
    if (old_size == size) {
        return estimates;
    }
    std::vector<double> covariance(size * size, 0.0);
    for (std::size_t i = 0; i < size; ++i) {
        const double deviation = i == 0 ? base_deviation : unknown_deviation;
        covariance[i * size + i] = deviation * deviation;
        for (std::size_t j = 0; i < old_size && j < old_size; ++j) {
            covariance[i * size + j] = estimates.covariance[i * old_size + j];
        }
    }
    estimates.covariance = std::move(covariance);
    estimates.mean.resize(size, unknown_effect);
    if (old_size == 0) {
        estimates.mean[0] = 0.0;
    }
    return estimates;
}

// Returns the inputs of the estimates: 1 for slot 0, then the load of each batch class.
std::vector<double> make_inputs(cell_tables& tables, const std::vector<class_load>& loads) {
    std::vector<std::pair<std::size_t, double>> slots;
    for (const auto& each : loads) {
        if (const auto slot = find_slot(tables, each.index); slot != no_index) {
            slots.emplace_back(slot, std::max(0.0, each.load));
        }
    }
    std::vector<double> inputs(tables.effect_slots, 0.0);
    inputs[0] = 1.0;
    for (const auto& [slot, load] : slots) {
        inputs[slot] = load;
    }
    return inputs;
}

// Slowdown of one service class in one report of a worker.
struct class_mean {
    std::size_t index = 0;
    double sum = 0.0;
    int samples = 0;
    double residual = 0.0; // measured mean minus the expected slowdown

    [[nodiscard]] double mean() const { return sum / samples; }
};

// Returns the expected slowdown of a service class.
double expected_slowdown(const effect_estimates& estimates, const std::vector<double>& inputs) {
    return std::inner_product(inputs.begin(), inputs.end(), estimates.mean.begin(), 1.0);
}

// Returns the slowdown beyond the expected one that all services of a worker share. A batch class
// disturbs some services more than others, so the common part has another cause and counts as
// noise. Returns 0 with fewer than three classes.
double common_noise(const std::vector<class_mean>& means) {
    constexpr std::size_t enough_classes = 3;
    if (means.size() < enough_classes) {
        return 0.0;
    }
    std::vector<double> residuals;
    residuals.reserve(means.size());
    for (const auto& mean : means) {
        residuals.push_back(mean.residual);
    }
    const auto middle = residuals.begin() + static_cast<std::ptrdiff_t>((residuals.size() - 1) / 2);
    std::ranges::nth_element(residuals, middle);
    return std::max(0.0, *middle);
}

// Updates the estimates of one service class from its residual with a Kalman filter whose state
// consists of the effects. It needs fewer samples than a gradient step, because it tracks the
// uncertainty of each effect.
void update_estimates(effect_estimates& estimates, const std::vector<double>& inputs,
                      const class_mean& measured, double residual) {
    // Step 1: compute the covariance of each effect with the slowdown. Most inputs are zero.
    const std::size_t size = estimates.mean.size();
    std::array<double, max_slots> cross_covariance{};
    for (std::size_t j = 0; j < size; ++j) {
        if (inputs[j] == 0.0) {
            continue;
        }
        const auto* line = &estimates.covariance[j * size];
        for (std::size_t i = 0; i < size; ++i) {
            cross_covariance[i] += inputs[j] * line[i];
        }
    }
    const double noise = common_deviation * common_deviation +
                         sample_deviation * sample_deviation / measured.samples;
    const double uncertainty =
        std::inner_product(inputs.begin(), inputs.end(), cross_covariance.begin(), 0.0);
    const double variance = noise + uncertainty;

    // Step 2: update the effects.
    const double limit = max_residual_deviations * std::sqrt(variance);
    const double step = std::clamp(residual, -limit, limit) / variance;
    for (std::size_t i = 0; i < size; ++i) {
        estimates.mean[i] =
            std::clamp(estimates.mean[i] + cross_covariance[i] * step, 0.0, max_effect);
    }

    // Step 3: reduce the variances by the information gained, then let them grow with time.
    for (std::size_t i = 0; i < size; ++i) {
        auto* line = &estimates.covariance[i * size];
        const double gain = cross_covariance[i] / variance;
        for (std::size_t j = 0; j < size; ++j) {
            line[j] -= gain * cross_covariance[j];
        }
        const double max_deviation = i == 0 ? base_deviation : unknown_deviation;
        line[i] = std::clamp(line[i] * variance_growth, 1e-6, max_deviation * max_deviation);
    }
}

bool is_latency_critical(const cell_tables& tables, const task_id& id) {
    const auto job = tables.jobs.find(id.job);
    return job != tables.jobs.end() && job->second.record.kind != job_kind::batch;
}

// Updates the smoothed slowdown with that of the worst affected service class.
void update_slowdown(interference_response& response, const std::vector<class_mean>& means,
                     double noise, time_point sampled) {
    if (means.empty()) {
        return;
    }
    double worst = 0.0;
    for (const auto& mean : means) {
        worst = std::max(worst, mean.mean());
    }
    response.slowdown += response_weight * (worst - noise - response.slowdown);
    response.last_sample = std::max(response.last_sample, sampled);
}

// Returns the slowdown at which each stage begins.
std::array<double, 4> stage_thresholds(const policy_options& options) {
    const double throttle = static_cast<double>(options.throttle_slowdown_percent) / 100.0;
    const double evict = static_cast<double>(options.evict_slowdown_percent) / 100.0;
    return {1.0, admission_limit(options), throttle, evict};
}

// Moves one worker by at most one stage, once the slowdown has stayed beyond a threshold for the
// delay. Returns whether the stage changed.
bool change_stage(interference_response& response, const policy_options& options, time_point now) {
    const auto thresholds = stage_thresholds(options);
    const auto stage = static_cast<std::size_t>(response.stage);
    const bool above =
        stage + 1 < thresholds.size() && response.slowdown >= thresholds.at(stage + 1);
    // A stage ends well below the threshold at which it began; otherwise noise would toggle it.
    const double lower = 1.0 + (thresholds.at(stage) - 1.0) * 0.7;
    const bool below = stage > 0 && response.slowdown < lower;
    const auto track = [&](time_point& since, bool holds) {
        since = !holds ? time_point{} : since == time_point{} ? now : since;
    };
    track(response.above_since, above);
    track(response.below_since, below);
    // A sample must have been taken since the current stage began, so that it shows the stage's
    // effect.
    const bool stage_sampled = response.last_sample >= response.changed;
    const bool raise = above && stage_sampled && now - response.above_since >= raise_delay;
    const bool lower_now = below && now - response.below_since >= lower_delay;
    if (!raise && !lower_now) {
        return false;
    }
    response.stage = static_cast<response_stage>(raise ? stage + 1 : stage - 1);
    response.changed = now;
    response.above_since = response.below_since = {};
    return true;
}

// Returns the slowdown that the model attributes to a batch class on a worker, for the worst
// affected service.
double attributed_slowdown(const cell_tables& tables, const cell_worker& worker, std::size_t batch,
                           std::int64_t processors) {
    double worst = 0.0;
    for (const auto& resident : worker.resident_classes) {
        if (tables.classes[resident.index].latency_critical && resident.running > 0) {
            worst = std::max(worst, pair_effect(tables, resident.index, batch) *
                                        as_share(processors, worker));
        }
    }
    return worst;
}

// Returns the batch class that does most harm on a worker, or no_index if none does enough.
std::size_t find_most_harmful_class(const cell_tables& tables, const cell_worker& worker) {
    std::size_t harmful_class = no_index;
    double highest_harm = tables.options.interference_model ? min_attributed_slowdown : -1.0;
    for (const auto& resident : worker.resident_classes) {
        if (tables.classes[resident.index].latency_critical || resident.running <= 0) {
            continue;
        }
        // Without a model, the class with the largest use is assumed to do most harm.
        const double harm =
            tables.options.interference_model
                ? attributed_slowdown(tables, worker, resident.index, resident.running)
                : as_share(resident.running, worker);
        if (harm > highest_harm) {
            highest_harm = harm;
            harmful_class = resident.index;
        }
    }
    return harmful_class;
}

template <class Function>
void for_running_batch(cell_tables& tables, std::size_t worker, Function&& visit) {
    for (auto& [id, task] : tables.tasks) {
        if (task.worker != worker || task.phase != task_phase::running) {
            continue;
        }
        const auto job = tables.jobs.find(id.job);
        if (job != tables.jobs.end() && job->second.record.kind == job_kind::batch) {
            visit(task, job->second.record);
        }
    }
}

// Throttles the class that does most harm, or ends all throttling on the worker.
void apply_shares(cell_tables& tables, std::size_t worker) {
    const auto& row = tables.workers[worker];
    const bool throttled = row.response.stage >= response_stage::throttle;
    const std::size_t harmful_class = throttled ? find_most_harmful_class(tables, row) : no_index;
    if (throttled && harmful_class == no_index) {
        return;
    }
    for_running_batch(tables, worker, [&](cell_task& task, const job_record& record) {
        if (record.urgent) {
            return;
        }
        if (!throttled) {
            set_share(tables, task, 100);
        } else if (task.class_index == harmful_class) {
            set_share(tables, task, throttled_share);
        }
    });
}

// Returns the task whose eviction helps a worker most for its cost: the largest task of the class
// that does most harm and, among equals, the one that has run for the shortest time.
cell_task* find_victim(cell_tables& tables, std::size_t worker) {
    const std::size_t harmful_class = find_most_harmful_class(tables, tables.workers[worker]);
    cell_task* victim = nullptr;
    if (harmful_class == no_index) {
        return victim;
    }
    for_running_batch(tables, worker, [&](cell_task& task, const job_record& record) {
        if (task.class_index != harmful_class || record.urgent || !record.idempotent) {
            return;
        }
        const auto rank = [](const cell_task& each) {
            return std::tuple{each.need.processors.value, each.started};
        };
        if (victim == nullptr || rank(task) > rank(*victim)) {
            victim = &task;
        }
    });
    return victim;
}

} // namespace

void apply_usage(cell_tables& tables, std::size_t worker, const std::vector<usage_sample>& samples,
                 time_point now) {
    // Step 1: group the samples by time and service class. Most reports hold samples of a single
    // time.
    std::map<time_point, std::vector<class_mean>> reports;
    for (const auto& sample : samples) {
        const bool usable = std::isfinite(sample.slowdown) && sample.slowdown > 0.0 &&
                            sample.age_ms >= 0 && duration(sample.age_ms) <= occupancy_history;
        if (!usable || !is_latency_critical(tables, sample.task)) {
            continue;
        }
        const std::size_t service = find_class(tables, sample.task_class);
        tables.classes[service].latency_critical = true;
        auto& means = reports[now - duration(sample.age_ms)];
        auto mean = std::ranges::find(means, service, &class_mean::index);
        if (mean == means.end()) {
            mean = means.insert(means.end(), class_mean{service});
        }
        mean->sum += std::min(sample.slowdown, max_slowdown);
        ++mean->samples;
    }

    // Step 2: learn from the means of each time, with the tasks that ran at that time.
    auto& row = tables.workers.at(worker);
    const bool learns = tables.options.interference_model && tables.options.learn_effects;
    for (auto& [at, means] : reports) {
        double noise = 0.0;
        if (learns) {
            const auto inputs = make_inputs(tables, loads_at(tables, row, at));
            for (auto& mean : means) {
                mean.residual =
                    mean.mean() - expected_slowdown(find_estimates(tables, mean.index), inputs);
            }
            noise = common_noise(means);
            for (const auto& mean : means) {
                update_estimates(find_estimates(tables, mean.index), inputs, mean,
                                 mean.residual - noise);
            }
        }
        update_slowdown(row.response, means, noise, at);
    }
}

double pair_effect(const cell_tables& tables, std::size_t service, std::size_t batch) {
    const std::size_t slot = tables.classes[batch].slot;
    if (service >= tables.effects.size() || slot >= tables.effects[service].mean.size()) {
        return unknown_effect;
    }
    return tables.effects[service].mean[slot];
}

double admission_limit(const policy_options& options) {
    constexpr double throttle_fraction = 0.6;
    return 1.0 + throttle_fraction *
                     (static_cast<double>(options.throttle_slowdown_percent) / 100.0 - 1.0);
}

interference_forecast forecast(const cell_tables& tables, const cell_worker& worker,
                               std::size_t batch, std::int64_t processors) {
    interference_forecast sum;
    for (const auto& service : worker.resident_classes) {
        if (!tables.classes[service.index].latency_critical || service.tasks == 0) {
            continue;
        }
        const double effect = pair_effect(tables, service.index, batch);
        const double added = effect * as_share(processors, worker);
        sum.added += added * static_cast<double>(service.tasks);
        sum.harmful = sum.harmful || effect > mild_effect;
        // Admission is limited only by services that the class harms, so a mild effect does not
        // count here.
        if (effect <= mild_effect) {
            continue;
        }
        double total = 1.0 + added;
        for (const auto& other : worker.resident_classes) {
            if (!tables.classes[other.index].latency_critical) {
                total += pair_effect(tables, service.index, other.index) *
                         as_share(other.committed, worker);
            }
        }
        sum.worst = std::max(sum.worst, total);
    }
    return sum;
}

std::vector<cell_task*> update_responses(cell_tables& tables, time_point now) {
    std::vector<cell_task*> evictions;
    for (std::size_t i = 0; i < tables.workers.size(); ++i) {
        auto& response = tables.workers[i].response;
        if (change_stage(response, tables.options, now)) {
            apply_shares(tables, i);
        }
        // Evict as long as the stage lasts, but no faster than the samples can show the effect.
        const bool due = response.stage == response_stage::evict &&
                         now - response.last_eviction >= eviction_interval &&
                         response.slowdown >= stage_thresholds(tables.options).back() &&
                         response.last_sample >= response.last_eviction;
        if (!due) {
            continue;
        }
        // A search without a result counts as an eviction too, because it is expensive.
        response.last_eviction = now;
        if (auto* victim = find_victim(tables, i)) {
            evictions.push_back(victim);
        }
    }
    return evictions;
}

} // namespace fulmar
