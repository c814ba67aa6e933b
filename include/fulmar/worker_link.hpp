// Client interface to the workers that execute runs. It starts, stops and paces runs; a hold renews
// a worker's lease and returns its running runs and its run ends.
#pragma once

#include "fulmar/job.hpp"
#include "fulmar/settings.hpp"
#include "fulmar/worker.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fulmar {

// Unix time at which a worker process started. Together with the worker's id it identifies one
// incarnation of a worker. A restarted worker keeps no state of earlier incarnations.
using process_start_time = strong_type<struct process_start_tag, std::int64_t>;

// A worker executes no command with a lower token than the highest that its process has seen.
using fencing_token = strong_type<struct fencing_token_tag, std::uint64_t>;

// The worker that a call is meant for. A worker with another id rejects the call.
struct worker_target {
    worker_id id;
    socket_address address;
};

struct start_command {
    run_key run;
    std::string payload;
    fencing_token token;
    worker_clock lease_until; // lease of everything that runs on the worker; never shortened
    std::string checkpoint;   // to resume from; empty: start from the beginning
    std::string ticket;       // of the advice service; empty: none
};

struct stop_command {
    run_key run;
    fencing_token token;
};

struct pace_command {
    run_key run;
    fencing_token token;
    int percent = 100;
};

struct hold_command {
    fencing_token token;
    std::uint64_t acknowledged = 0;          // the worker deletes run ends up to this number
    std::optional<worker_clock> lease_until; // unset: probe only, no renewal
    duration wait{0};                        // maximum wait of the reply for a run end
};

// Whether a worker executed a command, or why not. With `unhealthy` the worker did nothing. For the
// errors of a call without a reply see worker_link.
enum class command_outcome : std::uint8_t {
    done,
    fenced,     // the worker has already seen a higher token; it did nothing
    superseded, // this run or one with a higher number was stopped or ended on this worker
    late,       // the lease in the command has expired
    no_room,
    bad_ticket,
    invalid,
    unhealthy,
    other_incarnation, // another worker replies at this address
    missing,           // no such run on this worker
};

std::string_view to_string(command_outcome outcome);

struct command_reply {
    command_outcome outcome = command_outcome::done;
    std::optional<worker_clock> clock;
    std::optional<process_start_time> start_time;
};

// State of a run as reported by the worker. `measurement` is an approximate value over the last
// half second: the tail latency in ms of a serving task, or the processor use of any other task in
// thousandths of a core.
struct run_status {
    run_key run;
    std::string checkpoint;
    int progress_percent = 100;
    std::int64_t measurement = 0;
};

enum class run_end_kind : std::uint8_t {
    done,
    failed,  // because of the task itself or of the worker
    stopped, // by a command
    lapsed,  // the worker's lease expired
    broken,  // another member of the gang ended
    alone,   // the other members of the gang did not start
};

std::string_view to_string(run_end_kind kind);

// A run end. The worker reports it in every hold reply until its number is acknowledged.
struct run_end {
    std::uint64_t number = 0;
    run_key run;
    run_end_kind kind = run_end_kind::done;
    std::string checkpoint;
};

struct hold_reply {
    command_outcome outcome = command_outcome::done;
    worker_clock clock;
    std::optional<process_start_time> start_time;
    std::vector<run_status> running;
    std::vector<run_end> ended; // the oldest ones, at most `max_run_ends`
};

inline constexpr std::size_t max_run_ends = 500; // of the platform's workers

// Errors of all calls: unavailable (nothing was sent), timeout or outcome_unknown (the command may
// have been executed, or may be executed later), protocol_error.
class worker_link {
  public:
    worker_link() = default;
    virtual ~worker_link() = default;
    worker_link(const worker_link&) = delete;
    worker_link& operator=(const worker_link&) = delete;
    worker_link(worker_link&&) = delete;
    worker_link& operator=(worker_link&&) = delete;

    virtual void start(const worker_target& worker, const start_command& command,
                       std::function<void(result<command_reply>)> done) = 0;
    virtual void stop(const worker_target& worker, const stop_command& command,
                      std::function<void(result<command_reply>)> done) = 0;
    virtual void pace(const worker_target& worker, const pace_command& command,
                      std::function<void(result<command_reply>)> done) = 0;
    virtual void hold(const worker_target& worker, const hold_command& command,
                      std::function<void(result<hold_reply>)> done) = 0;
};

} // namespace fulmar
