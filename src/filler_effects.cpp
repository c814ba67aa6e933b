#include "filler_effects.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fulmar {

namespace {

// Prior of an effect. Harmless pairs have an effect of about 0 and harmful ones of 5 to 10; about a
// third of the pairs are harmful.
constexpr double prior_mean = 2.5;
constexpr double prior_deviation = 4.0;
constexpr double max_variance = prior_deviation * prior_deviation;

// Lower bound for the variance of an estimate, because effects change over time.
constexpr double min_variance = 0.04;

// Maximum number of estimates that one shard publishes.
constexpr std::size_t published_limit = 80;

// The slack of tasks of one job differs by about 0.3 at the same moment. An error of the level
// affects many consecutive measurements, so the assumed deviation is several times that.
constexpr double noise_deviation = 1.0;

// Factor by which the variance of an estimate grows with each new measurement. Effects change
// within minutes, so older measurements must lose weight.
constexpr double variance_growth = 1.003;

// Part of the standard deviation that upper_effect_estimate adds to the mean.
constexpr double uncertainty_weight = 0.5;

// Slack that is assumed for a job before its first measurement.
constexpr double default_slack = 2.5;

// Reported tail latencies are capped, so a slack below this only shows that the slack is small.
constexpr double censoring_limit = 0.3;

// Time constants in seconds with which levels and slopes follow the measurements, and the limit of
// a slope in slack per second.
constexpr double level_time_constant = 0.6;
constexpr double slope_time_constant = 2.0;
constexpr double slope_limit = 0.9;

// Maximum number of filler images in one row; further images are ignored. Limits the cost of one
// update.
constexpr std::size_t filler_image_limit = 24;
constexpr std::size_t no_index = static_cast<std::size_t>(-1);

std::size_t find_index(const effect_estimates_row& row, const std::string& image) {
    const auto known = std::find(row.fillers.begin(), row.fillers.end(), image);
    return known == row.fillers.end() ? no_index
                                      : static_cast<std::size_t>(known - row.fillers.begin());
}

std::size_t add_index(effect_estimates_row& row, const std::string& image) {
    const auto known = find_index(row, image);
    if (known != no_index || row.fillers.size() == filler_image_limit) {
        return known;
    }
    row.fillers.push_back(image);
    row.mean.push_back(prior_mean);
    for (auto& variances : row.covariance) {
        variances.push_back(0);
    }
    row.covariance.emplace_back(row.mean.size(), 0.0);
    row.covariance.back().back() = max_variance;
    return row.fillers.size() - 1;
}

// Updates the effects by one step of a Kalman filter. `inputs` are pairs of index and processor
// share; `loss` is the measured loss of slack.
void update_effects(effect_estimates_row& row,
                    const std::vector<std::pair<std::size_t, double>>& inputs, double loss) {
    const auto size = row.mean.size();
    std::vector<double> projected(size, 0.0); // covariance times inputs
    double predicted = 0;
    for (const auto& [index, input] : inputs) {
        predicted += row.mean[index] * input;
        for (std::size_t other = 0; other < size; ++other) {
            projected[other] += row.covariance[other][index] * input;
        }
    }
    double variance = noise_deviation * noise_deviation;
    for (const auto& [index, input] : inputs) {
        variance += projected[index] * input;
    }
    for (std::size_t other = 0; other < size; ++other) {
        const double gain = projected[other] / variance;
        row.mean[other] += gain * (loss - predicted);
        for (std::size_t column = 0; column < size; ++column) {
            row.covariance[other][column] -= gain * projected[column];
        }
    }
    for (const auto& [index, input] : inputs) {
        auto& own = row.covariance[index][index];
        own = std::min(own * variance_growth, max_variance);
    }
}

void update_slack_level(slack_level& level, double measured, time_point now) {
    if (level.updated == time_point{}) {
        level = {measured, 0, now};
        return;
    }
    const double elapsed = std::chrono::duration<double>(now - level.updated).count();
    // Several tasks of a job report at nearly the same time. Each of them counts as a step of at
    // least 0.1 s and so moves the level a little.
    const double step = std::max(elapsed, 0.1);
    const double predicted = level.level + level.slope * elapsed;
    const double residual = measured - predicted;
    const double weight = 1 - std::exp(-step / level_time_constant);
    level.level = predicted + weight * residual;
    level.slope +=
        (1 - std::exp(-step / slope_time_constant)) * weight * residual / level_time_constant;
    level.slope = std::clamp(level.slope, -slope_limit, slope_limit);
    level.updated = now;
}

} // namespace

void learn_effect(filler_effects& effects, const std::string& serving_image, const std::string& job,
                  double slack, const std::vector<filler_use>& filler_uses, time_point now) {
    auto& row = effects.serving[serving_image];
    std::vector<std::pair<std::size_t, double>> inputs;
    double predicted_loss = 0;
    for (const auto& use : filler_uses) {
        if (use.share <= 0) {
            continue;
        }
        const auto index = add_index(row, use.image);
        if (index != no_index) {
            inputs.emplace_back(index, use.share);
            predicted_loss += row.mean[index] * use.share;
        }
    }
    auto& level = effects.levels[job];
    const bool known = level.updated != time_point{};
    const double elapsed = known ? std::chrono::duration<double>(now - level.updated).count() : 0;
    const double undisturbed_slack = level.level + level.slope * elapsed;
    const bool censored = slack < censoring_limit;
    if (known && !inputs.empty() && !(censored && undisturbed_slack - predicted_loss < slack)) {
        update_effects(row, inputs, undisturbed_slack - slack);
    }
    if (!censored) {
        update_slack_level(level, slack + predicted_loss, now);
    }
}

namespace {

struct estimate {
    double mean = prior_mean;
    double variance = max_variance;
};

// Combines the shard's own estimate for a pair with the estimates of other shards.
estimate find_estimate(const filler_effects& effects, const std::string& serving_image,
                       const std::string& filler_image) {
    estimate own;
    const auto row = effects.serving.find(serving_image);
    const auto index =
        row == effects.serving.end() ? no_index : find_index(row->second, filler_image);
    if (index != no_index) {
        own = {row->second.mean[index],
               std::max(min_variance, row->second.covariance[index][index])};
    }
    const auto other = effects.remote_estimates.find({serving_image, filler_image});
    if (other == effects.remote_estimates.end()) {
        return own;
    }
    const double precision = 1 / own.variance + other->second.precision;
    return {(own.mean / own.variance + other->second.weighted_mean) / precision, 1 / precision};
}

} // namespace

double upper_effect_estimate(const filler_effects& effects, const std::string& serving_image,
                             const std::string& filler_image) {
    const auto known = find_estimate(effects, serving_image, filler_image);
    return std::max(0.0, known.mean + uncertainty_weight * std::sqrt(known.variance));
}

double lower_effect_estimate(const filler_effects& effects, const std::string& serving_image,
                             const std::string& filler_image) {
    const auto known = find_estimate(effects, serving_image, filler_image);
    return std::max(0.0, known.mean) * (1 - known.variance / max_variance);
}

std::vector<published_effect> effects_to_publish(const filler_effects& effects) {
    std::vector<published_effect> published;
    for (const auto& [image, row] : effects.serving) {
        for (std::size_t i = 0; i < row.fillers.size(); ++i) {
            if (row.covariance[i][i] < max_variance / 2) {
                published.push_back({image, row.fillers[i], row.mean[i], row.covariance[i][i]});
            }
        }
    }
    std::sort(published.begin(), published.end(),
              [](const published_effect& a, const published_effect& b) {
                  return a.variance < b.variance;
              });
    published.resize(std::min(published.size(), published_limit));
    return published;
}

void replace_remote_estimates(filler_effects& effects,
                              const std::vector<published_effect>& published) {
    effects.remote_estimates.clear();
    for (const auto& pair : published) {
        // Each published estimate includes the prior. Only the information beyond the prior is
        // added, so that the prior counts once.
        const double variance = std::max(min_variance, pair.variance);
        const double precision = 1 / variance - 1 / max_variance;
        if (precision <= 0) {
            continue;
        }
        auto& other = effects.remote_estimates[{pair.serving, pair.filler}];
        other.precision += precision;
        other.weighted_mean += pair.mean / variance - prior_mean / max_variance;
    }
}

double expected_slack(const filler_effects& effects, const std::string& job, time_point now,
                      duration lookahead) {
    const auto found = effects.levels.find(job);
    if (found == effects.levels.end() || found->second.updated == time_point{}) {
        return default_slack;
    }
    const auto& level = found->second;
    const auto ahead = std::chrono::duration<double>(now - level.updated + lookahead).count();
    return level.level + std::min(0.0, level.slope) * std::min(ahead, 2.0);
}

void remove_stale_levels(filler_effects& effects, time_point before) {
    std::erase_if(effects.levels, [&](const auto& row) { return row.second.updated < before; });
}

} // namespace fulmar
