// Estimates how much fillers of one image disturb serving tasks of another. It is built for this
// situation: a few pairs of images disturb each other strongly and all others hardly, the strong
// pairs differ between sites and aren't known in advance, and at the same time the load of a
// serving task itself varies, in the same way for all tasks of its job.
//
// The slack of a serving task is its latency target divided by its tail latency: 1 means that the
// task is exactly at its target, and more is better. To a first approximation, slack falls linearly
// with the task's own load and with the processors that fillers use on the same worker. The model
// is therefore a slack level per job that changes over time, minus the sum over the fillers of
// effect times processor share.
#pragma once

#include "fulmar/types.hpp"

#include <map>
#include <string>
#include <vector>

namespace fulmar {

// Processors that the fillers of one image use on a worker, as a share of the worker's capacity.
struct filler_use {
    std::string image;
    double share = 0;
};

// Estimated effects of fillers on the serving tasks of one image. The vectors and the covariance
// matrix are indexed by position in `fillers`, which holds the images of the fillers.
struct effect_estimates_row {
    std::vector<std::string> fillers;
    std::vector<double> mean; // loss of slack if the fillers used the whole worker
    std::vector<std::vector<double>> covariance;
};

// Estimated slack that the tasks of one job would have without fillers.
struct slack_level {
    double level = 0;
    double slope = 0; // per second
    time_point updated;
};

// Estimate for one pair of images, as shards publish it to each other.
struct published_effect {
    std::string serving;
    std::string filler;
    double mean = 0;
    double variance = 0;
};

// Sum of the estimates of other shards for one pair, in the form in which it is added to the
// shard's own estimate. Only the precision beyond that of the prior counts.
struct remote_estimate {
    double precision = 0;     // inverse of the variance
    double weighted_mean = 0; // sum of the means, each multiplied by its precision
};

struct filler_effects {
    std::map<std::pair<std::string, std::string>, remote_estimate>
        remote_estimates;                                // by image pair
    std::map<std::string, effect_estimates_row> serving; // by image
    std::map<std::string, slack_level> levels;           // by job
};

// Updates the estimates with one measured slack of a task of `job` and the fillers that ran on the
// same worker.
void learn_effect(filler_effects& effects, const std::string& serving_image, const std::string& job,
                  double slack, const std::vector<filler_use>& filler_uses, time_point now);

// Returns the effect of fillers of one image on serving tasks of another: the mean plus a part of
// the standard deviation, so that pairs with few measurements are tried with care. Never negative.
double upper_effect_estimate(const filler_effects& effects, const std::string& serving_image,
                             const std::string& filler_image);

// Returns a conservative estimate of an effect: the mean, scaled down while its variance is large.
// Never negative.
double lower_effect_estimate(const filler_effects& effects, const std::string& serving_image,
                             const std::string& filler_image);

// Returns the estimates to publish to other shards: those whose variance is less than half of the
// prior's, the most certain ones first, up to a limit.
std::vector<published_effect> effects_to_publish(const filler_effects& effects);

// Replaces the estimates received from other shards.
void replace_remote_estimates(filler_effects& effects,
                              const std::vector<published_effect>& published);

// Returns the lowest slack that a job's tasks are expected to have without fillers within
// `lookahead`. Assumes an average slack for jobs without measurements.
double expected_slack(const filler_effects& effects, const std::string& job, time_point now,
                      duration lookahead);

// Removes the slack levels of jobs whose last measurement is older than `before`.
void remove_stale_levels(filler_effects& effects, time_point before);

} // namespace fulmar
