// Client interface to the workers that execute runs: starts, stops, pacing, and holds that renew a
// worker's lease and return what runs there and what has ended.
#pragma once

#include "fulmar/job.hpp"
#include "fulmar/settings.hpp"
#include "fulmar/worker.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fulmar {

// Unix time at which a worker process started. With the worker's id it names one life of a worker;
// a later life knows nothing of an earlier one.
using birth_time = strong<struct birth_tag, std::int64_t>;

// Which worker a call is meant for. A worker of another id refuses it.
struct worker_target {
    worker_id id;
    socket_address address;
};

struct start_order {
    run_key run;
    std::string payload;
    epoch_number epoch;
    worker_clock lease_until; // for everything that runs on the worker; never shortened
    std::string checkpoint;   // to resume from; empty: from the beginning
    std::string ticket;       // of the advice service; empty: none
};

struct stop_order {
    run_key run;
    epoch_number epoch;
};

struct pace_order {
    run_key run;
    epoch_number epoch;
    int percent = 100;
};

struct hold_order {
    epoch_number epoch;
    std::uint64_t acknowledged = 0;          // ends up to this number are forgotten
    std::optional<worker_clock> lease_until; // unset: only looks
    duration wait{0};                        // the reply waits this long for an end
};

// Why a worker did not execute an order. `unhealthy` has certainly done nothing; for the errors of
// a call without an answer see run_worker.
enum class order_outcome : std::uint8_t {
    done,
    fenced,     // a higher epoch was seen
    superseded, // this run or a higher one was stopped or ended here
    late,       // the lease in the order has lapsed
    no_room,
    bad_ticket,
    invalid,
    unhealthy,
    other_life, // another worker answers at this address
    missing,    // no such run here
};

std::string_view to_string(order_outcome outcome);

struct order_reply {
    order_outcome outcome = order_outcome::done;
    std::optional<worker_clock> clock;
    std::optional<birth_time> born;
};

// A run as the worker reports it. `figure` is a rough value for the last half second: the tail
// latency in ms of a serving task, the thousandths of a core in use of any other.
struct running_row {
    run_key run;
    std::string checkpoint;
    int percent = 100;
    std::int64_t figure = 0;
};

enum class end_kind : std::uint8_t {
    done,
    failed,  // by its own fault or the worker's
    stopped, // by an order
    lapsed,  // the worker's lease ended
    broken,  // another member of the gang ended
    alone,   // the other members of the gang did not come
};

std::string_view to_string(end_kind kind);

// An end that the worker repeats until its number is acknowledged.
struct ended_row {
    std::uint64_t number = 0;
    run_key run;
    end_kind kind = end_kind::done;
    std::string checkpoint;
};

struct hold_reply {
    order_outcome outcome = order_outcome::done;
    worker_clock clock;
    std::optional<birth_time> born;
    std::vector<running_row> running;
    std::vector<ended_row> ended; // the oldest ones; at most `ended_rows_limit` at a time
};

inline constexpr std::size_t ended_rows_limit = 500; // of the platform's workers

// Errors of all calls: unavailable (nothing was sent), timeout or outcome_unknown (the order may
// have been executed, or may be executed later), protocol_error.
class run_worker {
  public:
    run_worker() = default;
    virtual ~run_worker() = default;
    run_worker(const run_worker&) = delete;
    run_worker& operator=(const run_worker&) = delete;
    run_worker(run_worker&&) = delete;
    run_worker& operator=(run_worker&&) = delete;

    virtual void start(const worker_target& worker, const start_order& order,
                       std::function<void(result<order_reply>)> done) = 0;
    virtual void stop(const worker_target& worker, const stop_order& order,
                      std::function<void(result<order_reply>)> done) = 0;
    virtual void pace(const worker_target& worker, const pace_order& order,
                      std::function<void(result<order_reply>)> done) = 0;
    virtual void hold(const worker_target& worker, const hold_order& order,
                      std::function<void(result<hold_reply>)> done) = 0;
};

} // namespace fulmar
