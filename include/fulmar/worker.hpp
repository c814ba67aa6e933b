// Client interface of the platform's worker API: one lease per worker, commands that the lease
// holder sends, and reports. Only worker_http.cpp depends on the platform's protocol.
#pragma once

#include "fulmar/types.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fulmar {

// Milliseconds on the worker's own monotonic clock.
using worker_clock = strong_type<struct worker_clock_tag, std::int64_t>;

enum class command_kind : std::uint8_t { start, stop, evict, throttle };

// One command to a worker. The worker rejects it after `expires_at`. A start is also rejected if
// its attempt is not higher than the last one received for the task, or if it exceeds the worker's
// resources.
struct worker_command {
    command_kind kind = command_kind::start;
    task_id task;
    attempt_number attempt;
    worker_clock expires_at;
    resources need;
    std::string task_class;   // service or batch class, for the interference estimates
    std::int64_t run_ms = 0;  // declared run time; 0: runs until stopped
    std::string checkpoint;   // to resume from; empty: start from the beginning
    std::int64_t share = 100; // throttle: percent of the task's processors
};

enum class task_state : std::uint8_t { running, checkpointed, finished, failed, stopped };

// State of one task on a worker. The worker repeats a report with a state other than `running`
// until it is acknowledged.
struct task_report {
    task_id task;
    attempt_number attempt;
    task_state state = task_state::running;
    resources need;
    std::string task_class;
    std::string checkpoint; // of an evicted task
};

// Resource usage of one task, measured `age_ms` before the reply.
struct usage_sample {
    task_id task;
    std::string task_class;
    std::int64_t age_ms = 0;
    millicores used;
    double slowdown = 1.0; // measured run time over undisturbed run time
};

// Result of one command. The results are in the order of the commands.
struct command_result {
    task_id task;
    attempt_number attempt;
    std::optional<error_kind> refused;
};

// Acknowledges the final report of a task's attempt; the worker stops repeating it.
struct task_ack {
    task_id task;
    attempt_number attempt;
};

// Acquires or renews the worker's lease and sends commands and acknowledgements.
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
    std::vector<task_report> tasks; // all tasks, or only unacknowledged final states
    std::vector<usage_sample> usage;
    std::vector<command_result> results;
};

// Receives the reply or an error: lease_held (another holder has the lease, or the worker grants
// none yet after its restart), stale_epoch, unavailable (nothing was sent), timeout or
// outcome_unknown (commands may have been executed).
using sync_callback = std::function<void(result<sync_reply>)>;

class worker_client {
  public:
    worker_client() = default;
    virtual ~worker_client() = default;
    worker_client(const worker_client&) = delete;
    worker_client& operator=(const worker_client&) = delete;
    worker_client(worker_client&&) = delete;
    worker_client& operator=(worker_client&&) = delete;

    // Sends one sync request; `done` is called on another thread or before this function returns.
    virtual void sync(const worker_id& worker, sync_request request, sync_callback done) = 0;
};

} // namespace fulmar
