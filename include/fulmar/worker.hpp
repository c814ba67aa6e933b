// Client interface of the platform's worker API: one lease per worker, commands under it, reports.
// Replacing the platform's protocol means replacing worker_http.cpp only.
#pragma once

#include "fulmar/types.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fulmar {

// Milliseconds on the worker's own monotonic clock.
using worker_clock = strong<struct worker_clock_tag, std::int64_t>;

enum class command_kind : std::uint8_t { start, stop, evict, throttle };

// One order to a worker. The worker refuses it after `expires_at`; a start is also refused when its
// attempt is not above the last one seen for the task, or when it exceeds the worker's resources.
struct worker_command {
    command_kind kind = command_kind::start;
    task_id task;
    attempt_number attempt;
    worker_clock expires_at;
    resources need;
    std::string task_class;   // service or batch class, for interference
    std::int64_t run_ms = 0;  // declared run time; 0 means until stopped
    std::string checkpoint;   // resume from here; empty means from the beginning
    std::int64_t share = 100; // throttle: percent of the task's processors
};

enum class task_state : std::uint8_t { running, checkpointed, finished, failed, stopped };

// What a worker knows of one task. States other than `running` are repeated until acknowledged.
struct task_report {
    task_id task;
    attempt_number attempt;
    task_state state = task_state::running;
    resources need;
    std::string task_class;
    std::string checkpoint; // of a task that was evicted
};

// Usage of one task at a moment that lies `age_ms` back.
struct usage_sample {
    task_id task;
    std::string task_class;
    std::int64_t age_ms = 0;
    millicores used;
    double slowdown = 1.0; // measured run time over undisturbed run time
};

// The answer to one command, in the order of the commands.
struct command_result {
    task_id task;
    attempt_number attempt;
    std::optional<error_kind> refused;
};

// Names a task's attempt whose final report was recorded and need not be repeated.
struct task_ack {
    task_id task;
    attempt_number attempt;
};

// Renews or takes the worker's lease and carries commands and acknowledgements.
struct sync_request {
    host_id holder;
    epoch_number epoch;
    std::int64_t lease_ms = 0;
    bool full_inventory = false;
    std::vector<worker_command> commands;
    std::vector<task_ack> acks;
};

struct sync_reply {
    worker_clock now;
    std::uint64_t incarnation = 0; // changes when the worker restarts
    resources capacity;
    std::vector<task_report> tasks; // all of them, or unacknowledged final states only
    std::vector<usage_sample> usage;
    std::vector<command_result> results;
};

// The reply, or: lease_held (another holder, or silence after a restart), stale_epoch, unavailable
// (nothing was sent), timeout or outcome_unknown (commands may have been executed).
using sync_callback = std::function<void(result<sync_reply>)>;

class worker_client {
  public:
    worker_client() = default;
    virtual ~worker_client() = default;
    worker_client(const worker_client&) = delete;
    worker_client& operator=(const worker_client&) = delete;
    worker_client(worker_client&&) = delete;
    worker_client& operator=(worker_client&&) = delete;

    // Sends one sync; `done` runs on another thread or before return.
    virtual void sync(const worker_id& worker, sync_request request, sync_callback done) = 0;
};

} // namespace fulmar
