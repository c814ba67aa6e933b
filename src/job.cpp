#include "fulmar/job.hpp"

#include "fulmar/site_config.hpp"
#include "fulmar/worker_link.hpp"

namespace fulmar {

std::string_view to_string(job_phase phase) {
    switch (phase) {
    case job_phase::queued:
        return "queued";
    case job_phase::running:
        return "running";
    case job_phase::completed:
        return "completed";
    case job_phase::failed:
        return "failed";
    case job_phase::cancelled:
        return "cancelled";
    }
    return "";
}

std::string_view to_string(command_outcome outcome) {
    switch (outcome) {
    case command_outcome::done:
        return "done";
    case command_outcome::fenced:
        return "fenced";
    case command_outcome::superseded:
        return "superseded";
    case command_outcome::late:
        return "late";
    case command_outcome::no_room:
        return "no_room";
    case command_outcome::bad_ticket:
        return "bad_ticket";
    case command_outcome::invalid:
        return "invalid";
    case command_outcome::unhealthy:
        return "unhealthy";
    case command_outcome::other_incarnation:
        return "other_life";
    case command_outcome::missing:
        return "missing";
    }
    return "";
}

std::string_view to_string(run_end_kind kind) {
    switch (kind) {
    case run_end_kind::done:
        return "done";
    case run_end_kind::failed:
        return "failed";
    case run_end_kind::stopped:
        return "stopped";
    case run_end_kind::lapsed:
        return "lapsed";
    case run_end_kind::broken:
        return "broken";
    case run_end_kind::alone:
        return "alone";
    }
    return "";
}

namespace {

// A larger job would not fit in memory or in one value of the store.
constexpr std::size_t step_limit = 256;
constexpr std::size_t task_limit = 20'000;

} // namespace

result<void> check_job(const job_spec& spec) {
    const auto reject = [](std::string reason) {
        return error{error_kind::invalid_argument, std::move(reason)};
    };
    if (spec.steps.empty() || spec.steps.size() > step_limit) {
        return reject("a job must have 1 to 256 steps");
    }
    for (std::uint32_t number = 0; number < spec.steps.size(); ++number) {
        const auto& step = spec.steps[number];
        if (step.count == 0 || step.count > task_limit) {
            return reject("a step must have 1 to 20000 tasks");
        }
        if (step.need.processors.value < 0 || step.need.memory.value < 0 ||
            step.need.accelerators.value < 0) {
            return reject("a task's resource needs must not be negative");
        }
        for (const auto before : step.after) {
            if (before >= number) {
                return reject("a step may depend on earlier steps only");
            }
        }
    }
    if (count_tasks(spec) > task_limit) {
        return reject("a job must have at most 20000 tasks");
    }
    if (spec.interval.count() < 0) {
        return reject("the interval must not be negative");
    }
    return outcome::success();
}

std::size_t count_tasks(const job_spec& spec) {
    std::size_t total = 0;
    for (const auto& step : spec.steps) {
        total += step.count;
    }
    return total;
}

std::optional<queue_match> find_queue(const site_config& config, std::string_view host,
                                      std::string_view path) {
    std::optional<queue_match> best;
    for (const auto& queue : config.queues) {
        if (queue.host != host || !path.starts_with(queue.prefix)) {
            continue;
        }
        if (!best || queue.prefix.size() > best->queue->prefix.size()) {
            best = queue_match{&queue, path.substr(queue.prefix.size())};
        }
    }
    return best;
}

const service_spec* find_service(const site_config& config, const service_id& id) {
    for (const auto& service : config.services) {
        if (service.id == id) {
            return &service;
        }
    }
    return nullptr;
}

} // namespace fulmar
