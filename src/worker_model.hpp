// Model of a platform worker: runs under a lease, fencing by epoch, run ends that are repeated
// until they are acknowledged, and checkpoints. Used by the stand-in of the platform and by the
// simulations of the tests. Does no I/O.
#pragma once

#include "fulmar/worker_link.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmar {

// The behaviour of a run, which a real worker observes by executing it.
struct run_behaviour {
    resources need;
    duration work{1'000}; // at full pace; for long-running tasks longer than any test
    bool fails = false;   // fails at the end of its work
    bool filler = false;  // its processors don't count against the capacity
    bool checkpoints = false;
    std::int64_t measurement = 0; // see run_status
};

struct worker_model_options {
    worker_id id;
    resources capacity;
    bool enforces_capacity = true;
    duration longest_lease{6'000};
    duration stop_time{200};
    duration checkpoint_interval{1'000};
    // Returns the behaviour of a run; nothing for an unknown task, whose start is refused.
    std::function<std::optional<run_behaviour>(const run_key& run, const std::string& payload)>
        behaviour;
};

// One incarnation of a worker. A worker_clock counts milliseconds since the worker started.
class worker_model {
  public:
    worker_model(worker_model_options options, process_start_time start_time, time_point started);

    command_reply start(const start_command& command, time_point now);
    command_reply stop(const stop_command& command, time_point now);
    command_reply pace(const pace_command& command, time_point now);
    hold_reply hold(const hold_command& command, time_point now);

    // Advances the model to `now`: runs make progress and end, and all of them end once the lease
    // has expired.
    void advance(time_point now);

    // Returns whether a run end is not yet acknowledged; a hold then returns at once.
    bool has_unacknowledged_ends() const { return !ended_.empty(); }

    bool failing = false;  // every run fails immediately
    bool refusing = false; // every start is refused as unhealthy
    bool stalled = false;  // no run makes progress

    // Each executed run and its end, in the order of starts, for the checks of the tests.
    struct observed_run {
        run_key run;
        time_point from;
        std::optional<time_point> to{};
        std::optional<run_end_kind> end{};
        std::string resumed_from{};
        bool acknowledged = false;
        std::optional<time_point> listed{}; // when a reply first listed the end
        bool lapsed = false; // the lease expired between the run end and its acknowledgement
    };
    const std::vector<observed_run>& observed() const { return observed_; }
    const std::map<run_key, resources>& occupied() const { return occupied_; }
    const worker_model_options& options() const { return options_; }
    worker_clock clock(time_point now) const;

  private:
    struct run_state {
        run_behaviour behaviour;
        double done_ms = 0; // completed part of the work
        int percent = 100;
        std::string checkpoint;
        double checkpoint_ms = 0;
        std::optional<time_point> stops_at;
        std::size_t observed = 0;
    };

    bool is_fenced(fencing_token token);
    void extend_lease(worker_clock until, time_point now);
    void end_run(const run_key& run, run_end_kind kind, time_point now);
    command_reply reply(command_outcome outcome, time_point now) const;
    bool has_room(const run_behaviour& next) const;

    worker_model_options options_;
    process_start_time start_time_;
    time_point started_;
    time_point last_advance_;
    fencing_token highest_token_;
    worker_clock lease_until_;
    std::map<run_key, run_state> runs_;
    // The highest run of each task that ended or was stopped here.
    std::map<task_key, run_number> highest_closed_run_;
    std::vector<run_end> ended_;
    std::uint64_t next_end_ = 1;
    std::vector<observed_run> observed_;
    // Indexes in observed_ by number of the run end.
    std::map<std::uint64_t, std::size_t> observed_ends_;
    std::map<run_key, resources> occupied_;
};

} // namespace fulmar
