// A simulated installation: hosts with the real control thread, one store, workers and operators,
// on a clock that the test advances. Faults are injected between them. The guarantees are checked
// against what the workers execute and what the callers are answered.
#pragma once

#include "fulmar/json.hpp"
#include "host_control.hpp"
#include "store_model.hpp"
#include "worker_model.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fulmar {

// The store's answers to a host: normal; none, so that calls time out; unavailable; or outcome
// unknown.
enum class store_mode : std::uint8_t { up, silent, busy, reset };

// A fault of one call: its receiver carries it out, and its caller gets no answer.
struct lost_answer {
    std::string kind;       // as named by sim_world::lose_answer
    duration late{0};       // until the call is carried out
    bool times_out = false; // otherwise the caller learns at once that the outcome is unknown
    bool refuses = false;   // for a second, the receiver answers that it did nothing
};

struct sim_job {
    job_spec spec;
    queue_spec queue;
    duration work{500};                    // of each task
    std::set<std::uint32_t> failing_tasks; // of the first step; they fail in every run
    std::optional<submit_outcome> answer;  // to the last submission
    bool ever_accepted = false;
    bool outcome_ever_unknown = false; // a submission wasn't answered or its outcome was unknown
    std::size_t open_submissions = 0;  // sent and not answered yet
    bool given_up = false;             // rejected, and not submitted again

    bool is_rejected() const {
        return answer && !ever_accepted && !outcome_ever_unknown && open_submissions == 0;
    }
    std::optional<time_point> cancel_acknowledged;
    std::optional<job_phase> reported_phase;
};

struct sim_worker {
    worker_entry entry;
    std::unique_ptr<worker_model> model; // null while it is down
    worker_model_options options;
    std::uint64_t incarnation = 0;
    std::vector<std::unique_ptr<worker_model>> retired_models;
    std::size_t checked_runs = 0;   // number of observed runs checked, of this incarnation
    std::set<run_key> counted_ends; // of this incarnation, acknowledged as done or failed
    bool disconnected = false;      // can reach neither the hosts nor the store
    std::set<std::size_t> disconnected_hosts;
    bool cut_from_store = false; // its entry is removed after three missed heartbeats
    std::size_t missed_heartbeats = 0;
    double late_commands = 0; // fraction of commands executed 2 to 12 s later and not answered
};

class sim_world {
  public:
    // `regions` names the region of each data centre; without it, all are in one.
    explicit sim_world(std::uint64_t seed,
                       const std::vector<std::string>& data_centres = {"east", "west"},
                       std::size_t hosts_each = 2, std::size_t workers_each = 6,
                       const std::map<std::string, std::string>& regions = {});
    ~sim_world();
    sim_world(const sim_world&) = delete;
    sim_world& operator=(const sim_world&) = delete;
    sim_world(sim_world&&) = delete;
    sim_world& operator=(sim_world&&) = delete;

    // Advances simulated time.
    void run_for(duration time);
    // Advances time until the condition holds; returns whether it did within the limit.
    bool run_until(const std::function<bool()>& condition, duration limit);

    time_point now() const { return now_; }
    unix_time unix_now() const;

    // Hosts.
    std::size_t host_count() const { return hosts_.size(); }
    host_control* host(std::size_t index);
    void start_host(std::size_t index);
    void kill_host(std::size_t index);
    void stop_host(std::size_t index); // planned stop: drains, then ends the process
    void freeze_host(std::size_t index, duration time);
    // Suspends a host's machine: besides, its timers stand still, and what was sent to it meanwhile
    // arrives up to 2 s after it runs again, when it is sent once more.
    void suspend_host(std::size_t index, duration time);
    bool clocks_count_suspensions = true; // those that the hosts read
    void set_store_mode(std::size_t index, store_mode mode);
    // Leaves a host's watches of keys that start with a prefix without answers, while the store
    // answers other calls.
    void hang_watches(std::size_t index, const std::string& prefix, bool hang);
    // Delays the replies to a host's reads of single records of shards.
    void delay_data_reads(std::size_t index, duration delay);
    // Sets a host's processors, in thousandths of a core; takes effect at the host's next start.
    void set_processor_share(std::size_t index, std::int64_t share);
    // Sets the longest lease that workers accept; takes effect at the processes' next start, so
    // both are started anew.
    void set_longest_lease(duration lease);
    // Restarts all hosts with this limit for owners that the store doesn't confirm, or for those
    // that only hosts of their own data centres confirm.
    void set_unconfirmed_limit(duration limit);
    void set_isolated_limit(duration limit);
    // Sets the region of a data centre; takes effect at the hosts' next start.
    void set_region(const std::string& data_centre, const std::string& region);
    // Keeps the log lines of a host; takes effect at its next start.
    void keep_log(std::size_t index);
    std::string log_of(std::size_t index);
    // Returns how many bytes of values the store has returned to a host for the operators' keys.
    std::uint64_t order_bytes_read(std::size_t index) const;
    // The same for the workers' entries, since the last reset.
    std::uint64_t worker_bytes_read(std::size_t index) const;
    void reset_worker_bytes(std::size_t index);
    const data_centre_id& data_centre_of(std::size_t index) const;
    const std::string& name_of(std::size_t index) const;
    double counter(std::size_t index, const std::string& name, const std::string& reason);
    void set_store_mode_for_all(store_mode mode);
    void set_partition(std::size_t a, std::size_t b, bool partitioned);
    // Cuts the way from one region to another: no datagram, call or answer that hosts and workers
    // of `from` send arrives in `to`. The store answers all hosts.
    void cut_region(const std::string& from, const std::string& to, bool cut);
    // Cuts a data centre that is a region of its own off from all others and from the store. Its
    // hosts and workers hear each other.
    void cut_data_centre(const std::string& data_centre, bool cut);
    const std::string& region_of_host(std::size_t index) const;
    // Returns the live host that owns a shard according to the stored claim.
    std::optional<std::size_t> owner_of(const std::string& shard);
    std::vector<std::string> shards();

    // Workers.
    std::map<std::string, sim_worker>& workers() { return workers_; }
    void crash_worker(const std::string& id);
    void start_worker(const std::string& id);
    void drain_worker(const std::string& id);
    // Ends a worker; another one, with a new id, starts at its address.
    void replace_worker(const std::string& id);

    // Operators.
    store_model& store() { return store_; }
    void configure(const std::vector<queue_spec>& queues);
    void evacuate(const std::string& data_centre, bool out);
    double lost_replies = 0; // fraction of store writes applied but not answered
    double late_writes = 0;  // fraction of store writes applied seconds later

    // Loses the answer to the next call of a kind. Transactions are `submission` (with one or more
    // jobs), `progress`, `claim`, `handover`, `request` (of a shard), `registration` and
    // `shard_list`; the other calls are `lease`, `keep`, `start`, `stop`, `hold`, and `peer.` with
    // the method for those between hosts.
    void lose_answer(const lost_answer& next) { lost_answer_ = next; }
    std::size_t answers_lost(const std::string& kind) const;

    // Callers.
    bool callers_insist = true; // submit again what was rejected
    static job_spec simple_job(std::uint32_t tasks, std::uint32_t steps = 1);
    queue_spec queue(const std::string& name) const;
    // Submits a job at a host and retries at the next host until it is accepted.
    std::string submit(std::size_t host, job_spec spec, duration work,
                       const std::string& queue = "renders");
    void send_submission(std::size_t host, const std::string& id);
    void cancel(std::size_t host, const std::string& id);
    std::optional<job_phase> query(std::size_t host, const std::string& id);
    std::map<std::string, sim_job>& jobs() { return jobs_; }
    bool all_ended() const;

    // Descriptions of the violated guarantees.
    const std::vector<std::string>& violations() const { return violations_; }

    std::size_t starts() const { return total_starts_; }
    bool running(const std::string& job) const;
    std::string dump() const;

  private:
    friend class sim_loop;
    friend class sim_store;
    friend class sim_peer_link;
    friend class sim_worker_link;

    struct sim_host;
    struct event {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };
    struct waiting_watch {
        std::size_t host = 0;
        std::uint64_t incarnation = 0;
        std::string prefix;
        revision_number after;
        time_point until;
        store_callback<store_events> done;
    };

    void at(duration delay, std::function<void()> action);
    // Runs an action on a host unless that incarnation has ended; a frozen host runs it later.
    void on_host(std::size_t host, std::uint64_t incarnation, duration delay,
                 std::function<void()> action);
    duration latency();
    duration resend_delay(const sim_host& host);
    bool chance(double probability);
    std::optional<lost_answer> take_lost_answer(std::string_view kind, const std::string& receiver);
    bool refuses(const std::string& receiver) const;
    void answer_watches();
    bool answer_hung_watch(waiting_watch& watch);
    bool is_cut(const data_centre_id& from, const data_centre_id& to) const;
    void tick();
    void finish_stop(std::size_t index);
    void record_ends(sim_worker& worker, const worker_model& model);
    void record_all_ends();
    void check_starts(sim_worker& worker, const worker_model& model);
    void note_planned_starts(const store_transaction& applied);
    void check_capacity(const sim_worker& worker);
    void record_violation(const std::string& what);
    void write_entry(const std::string& id);
    std::optional<run_behaviour> behaviour_of(const run_key& run) const;

    std::mt19937_64 random_;
    time_point now_;
    std::uint64_t next_order_ = 0;
    std::priority_queue<event> events_;
    store_model store_;
    // Workers that the store has named for a long-running task before a start.
    std::map<task_key, std::set<worker_id>> planned_starts_;
    std::vector<waiting_watch> watches_;
    std::vector<std::unique_ptr<sim_host>> hosts_;
    std::map<std::string, sim_worker> workers_;
    std::map<std::string, sim_job> jobs_;
    std::set<std::pair<std::size_t, std::size_t>> partitions_;
    std::map<data_centre_id, region_id> regions_;
    std::set<std::pair<std::string, std::string>> cut_regions_; // sender's and receiver's
    std::vector<queue_spec> queues_;
    std::uint64_t generation_ = 0;
    std::uint64_t next_job_ = 1;
    std::map<std::string, time_point> evacuated_at_;
    std::vector<std::string> violations_;
    std::size_t total_starts_ = 0;
    std::optional<lost_answer> lost_answer_;          // of the next call of its kind
    std::map<std::string, std::size_t> answers_lost_; // by kind
    std::map<std::string, time_point> refuses_until_; // by receiver

    // Observed runs of each task.
    struct task_history {
        // Start of each run in progress, by worker incarnation and run number.
        std::map<std::string, time_point> running;
        std::size_t done_acknowledged = 0; // runs, as are the failures
        bool done = false;                 // a run ended as done at a worker
        std::size_t failures_acknowledged = 0;
    };
    std::map<task_key, task_history> history_;
};

} // namespace fulmar
