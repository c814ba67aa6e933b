#include "fulmar/job.hpp"

#include "fulmar/run_worker.hpp"
#include "fulmar/site_config.hpp"

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

std::string_view to_string(order_outcome outcome) {
    switch (outcome) {
    case order_outcome::done:
        return "done";
    case order_outcome::fenced:
        return "fenced";
    case order_outcome::superseded:
        return "superseded";
    case order_outcome::late:
        return "late";
    case order_outcome::no_room:
        return "no_room";
    case order_outcome::bad_ticket:
        return "bad_ticket";
    case order_outcome::invalid:
        return "invalid";
    case order_outcome::unhealthy:
        return "unhealthy";
    case order_outcome::other_life:
        return "other_life";
    case order_outcome::missing:
        return "missing";
    }
    return "";
}

std::string_view to_string(end_kind kind) {
    switch (kind) {
    case end_kind::done:
        return "done";
    case end_kind::failed:
        return "failed";
    case end_kind::stopped:
        return "stopped";
    case end_kind::lapsed:
        return "lapsed";
    case end_kind::broken:
        return "broken";
    case end_kind::alone:
        return "alone";
    }
    return "";
}

namespace {

// A job beyond these could not be kept in memory or in one value of the store.
constexpr std::size_t step_limit = 256;
constexpr std::size_t task_limit = 20'000;

} // namespace

result<void> check_job(const job_spec& spec) {
    const auto refuse = [](std::string reason) {
        return error{error_kind::invalid_argument, std::move(reason)};
    };
    if (spec.steps.empty() || spec.steps.size() > step_limit) {
        return refuse("a job has 1 to 256 steps");
    }
    for (std::uint32_t number = 0; number < spec.steps.size(); ++number) {
        const auto& step = spec.steps[number];
        if (step.count == 0 || step.count > task_limit) {
            return refuse("a step has 1 to 20000 tasks");
        }
        if (step.need.processors.value < 0 || step.need.memory.value < 0 ||
            step.need.accelerators.value < 0) {
            return refuse("a task's needs are not negative");
        }
        for (const auto before : step.after) {
            if (before >= number) {
                return refuse("a step depends on earlier steps only");
            }
        }
    }
    if (count_tasks(spec) > task_limit) {
        return refuse("a job has at most 20000 tasks");
    }
    if (spec.interval.count() < 0) {
        return refuse("the interval is not negative");
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
