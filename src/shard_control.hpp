// Control of one shard as a state machine: it receives events and produces commands for workers and
// transactions for the store. It does no I/O and reads no clock, so tests can cover any order of
// events.
#pragma once

#include "filler_effects.hpp"
#include "fulmar/decision_log.hpp"
#include "fulmar/metrics.hpp"
#include "shard_records.hpp"
#include "shard_room.hpp"
#include "shard_tables.hpp"
#include "worker_class.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fulmar {

// Timing of the protocol with workers and the store. Timing that concerns the platform comes from
// settings.
struct shard_timing {
    // Tasks of a lost worker start elsewhere once its lease has ended. A worker ends all its runs
    // if no owner sends it a hold for this long; a takeover takes up to 3 s.
    duration lease{5'000};
    // The longest lease that workers accept. A worker that has restarted takes this one from a
    // command with a lease on the clock of its earlier process.
    duration longest_lease{6'000};
    // A command without a reply may be executed until this long after it was sent.
    duration late_limit{12'000};
    // Lease of draining workers. A task that still runs there when the worker leaves starts
    // elsewhere only after this.
    duration draining_worker_lease{2'500};
    duration gang_wait{3'000}; // how long a worker waits for the other members of a gang
    // A task is lent after it has waited this long for room in its own shard. Fillers wait longer,
    // because room for them frees up within seconds.
    duration lend_after{120};
    duration lend_filler_after{400};
    // A borrowed task that finds no room is returned after this, a long-running one for which no
    // room could be reserved sooner: it has to run again within 6 s.
    duration return_after{2'500};
    duration return_unreserved_after{300};
    // A long-running task leaves a draining worker only for room that is free, and after this also
    // for room that short tasks still occupy.
    duration drain_patience{1'500};
    duration loan_retry{400};    // between attempts to send a loan message
    duration retention{150'000}; // of ended jobs; callers require 120 s

    // Maximum time for which a worker delays its reply to a hold; it replies immediately when a run
    // ends. Each hold renews the lease, and each reply has the measurements of serving tasks, which
    // may exceed their targets for at most 4 s.
    duration hold_wait{1'000};
    // The same for workers on which fillers run beside serving tasks. Equals the interval at which
    // the measurements change.
    duration shared_hold_wait{500};
    // Between probes of a worker that doesn't reply.
    duration probe_interval{400};
    // Delay of the next hold while run ends aren't stored yet. The worker replies to such a hold
    // immediately, because it repeats run ends that aren't acknowledged.
    duration unstored_hold_interval{300};
    // Delay of the next hold while the stored list says that this owner leaves the worker alone.
    // The lease is renewed by the first one after a list without that was stored.
    duration promised_hold_interval{200};
    // A worker may have restarted this long after it sent a reply. More than the interval above.
    duration reply_age{500};
    // A worker's clock may be 2% slow. The margin is added when checking whether a lease has ended;
    // it also covers timers that fire late.
    std::int64_t clock_drift_percent = 2;
    duration lease_margin{100};
    // If the store doesn't confirm the claim, ownership depends on workers and witnesses having
    // accepted this owner's epoch within this time. Must be at least twice hold_wait.
    duration confirmation_window{2'500};
    // For how long they may do so, since the owner's last transaction: in an outage of the store.
    duration unconfirmed_limit = default_unconfirmed_limit;
    // The same unless half of the witnesses of each other data centre confirm the owner, since they
    // did last. A data centre that is cut off goes on for so long, and one that is gone with all
    // its hosts and workers is waited for as long.
    duration isolated_limit = default_isolated_limit;
    // Run ends that complete no job are collected for this long, so that one transaction stores
    // many.
    duration commit_delay{50};
    // Between attempts to reach the store. Calls to an unavailable store are charged as well.
    duration commit_retry{300};
    // An owner writes the head at least this often, so that hosts that receive no datagrams from it
    // find that it works.
    duration progress_interval{300};
    duration stop_retry{700};
    duration stop_repeat{3'000}; // when the worker confirmed a stop but still lists the run
    // An unhealthy worker gets no starts for this long; the pause doubles with each consecutive
    // failure up to the limit. It may be the only one that can run a task, which has to run again
    // within 3 s after the worker has recovered.
    duration unhealthy_pause{500};
    duration unhealthy_pause_limit{2'500};
};

using request_token = std::uint64_t;

// Free resources of one service's workers in a shard. Processors are in thousandths of a core.
struct service_room {
    service_id service;
    resources free{};    // sum over all workers, for tasks that aren't fillers
    resources largest{}; // on the worker with the most free processors
    // Room for long-running tasks on the workers that have the most: what is free there once the
    // tasks that aren't long-running have ended.
    std::vector<resources> long_running;
    // Room that is free now on the workers that have the most of what they have least of.
    std::vector<resources> free_now;
    std::int64_t fillers = 0; // processors that fillers may use
    // The same by image of the fillers: processors that they may use without disturbing serving
    // tasks.
    std::map<std::string, std::int64_t> undisturbing_rooms;
    std::vector<worker_class> classes; // empty: the owner runs an earlier version
};

// Free resources of another shard as its owner reports them, and whether tasks may be lent to it
// now.
struct lending_room {
    shard_id shard;
    bool available = false; // its data centre is in service and its owner is reachable
    std::vector<rack_id> racks;
    std::vector<service_room> rooms;
    time_point no_loans_before; // set when it returned tasks
    // What it refused lately: its owner knows its workers better than what it published tells.
    struct refused_need {
        service_id service;
        std::string label;
        resources need;
        bool gang = false;
        time_point until;
    };
    std::vector<refused_need> refused;
    bool room_requested = false; // the last message with room requests listed tasks
    // Until then long-running tasks are lent to it for the room that it publishes: its owner
    // doesn't know room requests.
    time_point unasked_until;
};

// A message to the owner of another shard about lent tasks. Its reply is passed to on_loan_reply.
struct loan_message {
    shard_id to;
    std::uint64_t loan = 0;
    job_id job;
    std::string body;
};

// A shard whose owner didn't process the last loan message.
struct silent_receiver {
    time_point next_probe; // earliest time of the next message
    time_point first_due;  // when the message became due that is sent next
};

using offer_check_id = strong_type<struct offer_check_tag, std::uint64_t>;

// Whether an offer may be accepted: the lender's record includes the loan, it doesn't, the loan was
// withdrawn, refused or ended while the record was read, or the record couldn't be read.
enum class offer_verdict : std::uint8_t { valid, outdated, withdrawn, unknown };

// Answer to a loan message of another shard's owner.
struct loan_answer {
    request_token token = 0;
    std::string state;
};

// Outcome of the submission of a job. `refused` and `unavailable` mean that the job was not stored
// and never runs; `unknown` means that it may have been stored.
enum class submit_outcome : std::uint8_t { accepted, refused, unavailable, unknown };

std::string_view to_string(submit_outcome outcome);

struct submit_answer {
    request_token token = 0;
    submit_outcome outcome = submit_outcome::accepted;
    duration retry_after{0};
    std::string reason;
};

// Answer to a cancellation. `known` is false if this shard has no such job. Otherwise the job's
// end, by this cancellation or before it, is stored, and no other shard holds tasks of it.
struct cancel_answer {
    request_token token = 0;
    bool known = false;
};

template <class Command>
struct worker_action {
    worker_target target;
    Command command;
};

struct shard_actions {
    time_point time; // of the advance that decided them
    std::vector<worker_action<start_command>> starts;
    std::vector<worker_action<stop_command>> stops;
    std::vector<worker_action<pace_command>> paces;
    std::vector<worker_action<hold_command>> holds;
    std::optional<store_transaction> commit;
    std::vector<submit_answer> submit_answers;
    std::vector<cancel_answer> cancel_answers;
    std::vector<loan_message> loan_messages;
    std::vector<loan_answer> loan_answers;
    std::vector<job_id> index_reads; // jobs whose index entries are to be read
};

// Workers that may have runs of a shard, with their addresses. A worker may come back under its id
// at another address; the list then has to name that one before a run starts there.
using worker_list = std::map<worker_id, socket_address>;

// Promises of owners not to use workers, by worker.
using promise_list = std::map<worker_id, lease_promise>;

// State of group commit. Only one transaction is pending at a time. While its outcome is unknown,
// the same transaction is sent again; its condition on the head's revision makes sure that it takes
// effect at most once.
// Open starts, and when each was last sent.
using sent_starts = std::map<run_key, time_point>;

struct commit_state {
    // A change of a job's record that no transaction includes yet.
    struct unstored_change {
        time_point since;    // the first change since the last transaction with the record
        bool urgent = false; // a caller or another shard waits for it
    };
    struct stored_change {
        job_id job;
        std::uint64_t version = 0; // of the record in the transaction
        unstored_change change;
    };

    bool in_flight = false;
    bool unconfirmed = false; // an attempt got no reply, so it may take effect at any time
    // Only the connection of the last attempt broke. The next one follows at once, and submissions
    // wait for it.
    bool repeated_at_once = false;
    std::optional<store_transaction> pending;
    std::uint64_t number = 0;
    std::map<job_id, unstored_change> unstored;
    std::vector<stored_change> changes;          // in the transaction
    std::vector<job_id> submissions;             // jobs submitted in the transaction
    std::vector<job_id> purged;                  // jobs whose records the transaction removes
    std::vector<job_id> borrowed_jobs;           // borrowed jobs first stored in the transaction
    bool has_worker_list = false;                // the transaction includes the worker list
    worker_list listed_workers;                  // the worker list in the transaction
    promise_list promises;                       // the promises in it
    std::optional<settled_incarnations> settled; // in the transaction
    std::optional<ownership_record> ownership;   // the ownership record in the transaction
    time_point lease_ends_updated;               // when the last one was made
    std::optional<sent_starts> open_starts;      // in the transaction
    time_point first_sent;                       // when its first attempt was sent
    time_point next_attempt;                     // earliest time of the next attempt
    std::uint64_t attempts = 0;                  // number of attempts that were sent
    // Number of the last attempt whose reply proved that this was still the shard's owner.
    std::uint64_t confirmed_attempt = 0;
    std::optional<time_point> last_applied; // send time of the last transaction that was applied
    std::optional<time_point> dirty_since;
    // A caller or another shard waits for the change, so it skips the commit delay.
    bool urgent = false;
    // Until then submissions of jobs that another shard has stored are expected.
    time_point duplicates_until;
    std::size_t index_reads = 0; // without an answer
};

// What is known of the index entry of a submitted job: nothing; it is being read; it didn't exist,
// so no other shard had stored the job; or it couldn't be read.
enum class index_knowledge : std::uint8_t { none, requested, absent, unreadable };

// A submission that its callers wait for.
struct waiting_submission {
    std::vector<request_token> tokens; // the requests for it, of one caller or of several hosts
    time_point arrived;                // of the first request
    time_point store_by;               // refused if no transaction has the job by then
    std::optional<time_point> sent{};  // when the first transaction with the job was sent
    std::size_t transactions = 0;      // that included the job
    index_knowledge index = index_knowledge::none;
    time_point index_requested; // when the read was requested
};

// An owner of the shard before this one that may still act, if it lives.
struct former_owner {
    owner_term term;
    // Since when too few witnesses or workers accept it. Until a confirmation window later it may
    // renew leases. Workers that restart accept it again.
    std::optional<time_point> refused_since{};
    // Since when too few witnesses may confirm it. They don't do so any more.
    std::optional<time_point> fenced_since{};
    // By when its last lease has ended, if nothing can give it its authority back, and at the
    // latest, by the limit for owners that the store doesn't confirm.
    std::optional<time_point> leases_end{};
    std::optional<time_point> latest_end{};
};

// What a task without a run waits for: that the takeover is complete; that another shard answers
// about a loan; that a change of its record is stored; that starts are allowed here; or room.
enum class wait_cause : std::uint8_t { takeover, loan, unstored, permission, room };
inline constexpr std::size_t wait_causes = 5;

std::string_view to_string(wait_cause cause);

// A long-running task's wait as far as this owner has seen it.
struct task_wait {
    std::array<duration, wait_causes> by_cause{};
};

struct shard_state {
    shard_id id;
    data_centre_id data_centre;
    std::set<rack_id> racks;
    host_id self;
    shard_timing timing;
    shard_tables tables;
    std::set<job_id> active; // jobs that haven't ended
    // When much work that can end in time last waited for room, and whether this owner has looked.
    std::map<service_id, time_point> timely_work_waited;
    bool timely_work_noted = false;

    // Ownership.
    epoch_number epoch;
    revision_number claim_revision;
    revision_number head_revision;
    bool ownership_lost = false; // another owner has a higher epoch; no further commands are sent
    // Send time of the last call that confirmed this owner's claim.
    std::optional<time_point> claim_confirmed;
    // Workers that a predecessor used and whose runs aren't known yet, at the addresses where it
    // used them. What ends the wait for each is described at complete_takeover().
    worker_list unreached_workers;
    // Those of them that may have a lease of a former owner which knew their incarnation. Others
    // may have one that they took in a restart which it hadn't noticed.
    std::set<worker_id> usually_leased_workers;
    // The stored worker list as it was loaded, with the epochs of the owners that listed each
    // first.
    std::map<worker_id, epoch_number> predecessor_workers;
    promise_list predecessor_promises; // the promises in it
    // Those of them that have listed no runs to this owner, so it has granted them no lease.
    std::set<worker_id> untouched_workers;
    std::vector<former_owner> former_owners; // empty once the takeover is complete
    bool takeover_complete = false;          // no run of a predecessor can be unknown to this owner
    time_point loaded_at;                    // when the shard's records were loaded
    // By when the store had applied the last transaction of the owners before this one; unset if
    // that isn't known.
    std::optional<time_point> predecessors_stored_by;
    time_point next_takeover_log; // earliest time of the next log line about the takeover
    bool limit_logged = false;    // that this owner has lost its authority by its limit

    // Authority while the store doesn't confirm the claim.
    witness_sets witnesses; // to be stored, chosen by the host; empty: none are used
    std::map<host_id, time_point>
        witness_confirmed; // send time of the last call that each confirmed
    // Hosts that have promised to confirm no former owner, and not to act as one, and since when.
    std::map<host_id, time_point> fenced_witnesses;
    // By when each of them had confirmed a former owner last.
    std::map<host_id, time_point> last_confirmations;

    // Set by the host.
    bool starts_allowed = true;   // the host's copies of orders and worker entries are up to date
    bool data_centre_open = true; // operators have not taken the data centre out of service
    bool releasing = false;       // a handover is being prepared: no starts
    bool handing_over = false;    // the claim is being written for the successor: no commits

    commit_state commit;
    std::map<job_id, waiting_submission> submissions;           // not yet answered
    std::map<job_id, std::vector<request_token>> cancellations; // not yet answered
    worker_list stored_workers;                                 // in the worker list in the store
    std::map<worker_id, epoch_number> listed_since;             // see known_worker::since
    promise_list stored_promises;                               // this owner's promises there
    settled_incarnations settled;                               // of this shard's workers
    settled_incarnations stored_settled;                        // in the store
    ownership_record stored_ownership;                          // epoch 0: none
    std::vector<open_start> inherited_starts;                   // of former owners, until adopted
    sent_starts stored_open_starts;                             // in the store
    // Run ends that a former owner passed on, with the workers that listed them. They are kept
    // until the next message after they were stored.
    std::vector<std::pair<worker_id, unacknowledged_run_end>> passed_ends;
    std::optional<passed_rooms> inherited_rooms; // until they are reserved here
    std::vector<job_id> to_purge;
    std::set<job_id> unstored_borrowed_jobs; // borrowed jobs that aren't stored yet
    struct waiting_loan_answer {
        request_token token = 0;
        job_id job;
        // Version of the job's record that must be stored before the answer.
        std::uint64_t version = 0;
        std::string state;
        std::uint64_t loan = 0;
        std::uint64_t confirmed_by = 0; // attempt at a commit that must have been confirmed before
    };
    std::vector<waiting_loan_answer> loan_answers;
    // An offer of another shard while the lender's record is being read.
    struct offer_check {
        offer_check_id id;
        job_id job;
        std::uint64_t loan = 0;
        bool cancelled = false; // the offer must not be accepted, whatever the record says
    };
    std::vector<offer_check> offer_checks;
    // The loans that were dropped last after their withdrawal was stored, or refused; a repeated
    // withdrawal is answered at once, and a repeated offer is refused.
    std::deque<std::pair<job_id, std::uint64_t>> dropped_loans;
    std::uint64_t last_offer_check = 0;
    struct closed_loan {
        job_id job;
        std::uint64_t version = 0; // of the job's record without the loan
    };
    std::map<std::uint64_t, closed_loan> closed_loans; // until that version is stored
    struct returned_task {
        task_key task;
        std::uint64_t version = 0; // version of the job's record that no longer includes the loan
    };
    // Tasks that must not start before that version is stored.
    std::vector<returned_task> returned_tasks;
    std::map<shard_id, lending_room> other_shards;        // updated by the host
    std::map<shard_id, silent_receiver> silent_receivers; // of loan messages
    std::uint32_t loans_made = 0;                         // number of loans made under this epoch
    std::map<task_key, room_request> room_requests;       // of other shards
    std::map<shard_id, std::uint64_t> last_room_requests; // number of each shard's last message
    std::map<task_key, granted_room> granted_rooms;       // by other shards
    // Other shards that hold room for a waiting task which isn't free yet, and until when that
    // counts.
    std::map<task_key, std::map<shard_id, time_point>> held_rooms;
    std::map<task_key, evicting_shard> evicting_shards; // by waiting task of this shard
    std::map<task_key, time_point> leaving_tasks;       // run on a draining worker; when last seen
    std::uint32_t room_messages = 0;                    // number of messages with room requests
    time_point next_room_service;
    time_point next_request_log;
    time_point next_eviction_check;
    // From measurements of this shard's workers and estimates of other shards.
    filler_effects effects;
    // Processors that fillers requested recently, by image.
    std::map<std::string, double> filler_demand;
    // Smoothed; see service_room::undisturbing_rooms.
    std::map<std::string, double> undisturbing_rooms;
    time_point next_regroup;
    unix_time wall_clock;         // at the last event
    bool placement_needed = true; // set when something changed since the last placement
    time_point next_purge;
    std::map<task_key, task_wait> waits; // of long-running tasks
    time_point next_parking;
    time_point next_recording;
    time_point next_settled_check;
    std::uint32_t fences = 0; // the highest fence of a worker
    // Starts to send again; see repeat_starts.
    std::set<run_key> repeated_starts;
    time_point last_wait_check;
    time_point next_wait_check;
    // Work of placement since the last report: rounds, and pairs of task and worker compared.
    std::uint64_t placement_rounds = 0;
    std::uint64_t placement_checks = 0;

    metrics* counters = nullptr;
    decision_log* log = nullptr;
};

// Creates the state of a shard whose claim was just written with this epoch and revision.
shard_state make_shard(const shard_record& record, const host_id& self, epoch_number epoch,
                       revision_number claim_revision, const shard_timing& timing,
                       metrics& counters, decision_log& log);

// Returns the number of tasks that this shard is to run and that have no run.
std::size_t count_waiting_tasks(const shard_state& shard);

// Loads the shard's stored records; logs and skips those that can't be parsed.
void load_shard(shard_state& shard, const std::vector<store_entry>& entries);

// Process a new or changed entry of a worker in the platform's store, or its deletion.
void on_worker_entry(shard_state& shard, const worker_entry& entry, time_point now);
void on_worker_unlisted(shard_state& shard, const worker_id& worker, time_point now);

// Returns whether a job's long-running tasks would fill the shard beyond its limit. Failed tasks
// need room to restart, and short tasks need some room at all.
bool exceeds_long_running_limit(const shard_state& shard, const queue_spec& queue,
                                const job_spec& spec);

// One request for a submission. A job that no transaction includes by `store_by` is refused:
// whoever asked has to answer its caller.
struct submit_request {
    request_token token = 0;
    time_point store_by = time_point::max();
};

// Processes a submission. The answer follows in the actions once the job is stored or refused.
void submit_job(shard_state& shard, const job_id& id, const queue_spec& queue, job_spec spec,
                const submit_request& request, time_point now, unix_time unix_now);

// Processes a cancellation. The answer follows in the actions.
void cancel_job(shard_state& shard, const job_id& id, request_token token, time_point now,
                unix_time unix_now);

// Returns the phase of a job to show to callers: the end of a job only once it is stored. Returns
// nothing if the job isn't stored or belongs to another shard.
std::optional<job_phase> visible_phase(const shard_state& shard, const job_id& id);

// Process the results of calls. `sent` is the time at which the call was made.
void on_hold_reply(shard_state& shard, const worker_id& worker, const result<hold_reply>& reply,
                   time_point sent, time_point now, unix_time unix_now);
void on_start_reply(shard_state& shard, const run_key& run, const result<command_reply>& reply,
                    time_point now);
void on_stop_reply(shard_state& shard, const run_key& run, const result<command_reply>& reply,
                   time_point now);
void on_pace_reply(shard_state& shard, const run_key& run, int percent,
                   const result<command_reply>& reply);
void on_commit_reply(shard_state& shard, const result<transaction_reply>& reply, time_point sent,
                     time_point now);

// Processes the index entry of a submitted job, as read for `shard_actions::index_reads`.
void on_index_read(shard_state& shard, const job_id& id,
                   const result<std::optional<store_entry>>& entry, time_point now);

// Processes a message of another shard's owner about lent tasks; the answer follows in the actions.
// `body` was written by that owner. Offers must have been verified against the lender's record.
// Throws a std::exception if the body is malformed.
void on_loan_message(shard_state& shard, const json& body, request_token token, time_point now,
                     unix_time unix_now);

// Returns whether a message is an offer that must be verified against the lender's record before it
// is processed. Throws a std::exception if the body is malformed.
bool is_new_offer(const shard_state& shard, const json& body);

// Begins and ends the verification of an offer. Between the two the lender's record is read; a
// withdrawal that arrives meanwhile counts more than the record.
offer_check_id begin_offer_check(shard_state& shard, const json& body);
offer_verdict finish_offer_check(shard_state& shard, offer_check_id id, const json& body,
                                 const result<std::optional<store_entry>>& record);

// Processes the answer to a loan_message.
void on_loan_reply(shard_state& shard, const loan_message& message,
                   const result<std::string>& state, time_point now);

// Has the new owner of another shard probed at once with a message.
void on_owner_changed(shard_state& shard, const shard_id& other);

// Returns the messages to the owners of all available shards about the long-running tasks that wait
// for room. They are repeated with each call as long as tasks wait.
std::vector<room_request_message> make_room_requests(shard_state& shard, time_point now);

// Processes such a message and returns the answer: the tasks for which room is reserved and free.
// Writes nothing to the store. Throws a std::exception if the body is malformed.
std::string on_room_requests(shard_state& shard, const json& body, time_point now);

// Processes the answer to a room_request_message. Throws a std::exception if it is malformed.
void on_room_reply(shard_state& shard, const shard_id& from, const result<std::string>& reply,
                   time_point now);

// Performs the actions that are due, and collects the commands, the transaction and the answers to
// send.
void advance(shard_state& shard, time_point now, unix_time unix_now, shard_actions& actions);

// Returns whether the shard can be released without loss: no transaction is pending and no caller
// waits for one. Run ends that aren't stored weren't acknowledged, so workers report them again to
// the successor.
bool can_release(const shard_state& shard);

// Adds to the transaction of a handover what the successor need not wait for: the workers to which
// this owner grants no lease any more, from now on, and by when the former owners' leases end.
void add_handover_records(shard_state& shard, store_transaction& handover, time_point now);

// Returns whether the claim must be read from the store because it isn't confirmed otherwise.
bool needs_claim_check(const shard_state& shard, time_point now);

// Returns whether the witnesses have to confirm this owner, as the store may not do so in time.
bool needs_witnesses(const shard_state& shard, time_point now);

// Returns the witnesses of this owner.
std::set<host_id> all_witnesses(const witness_sets& witnesses);

// Returns the hosts that have yet to promise that they confirm no former owner.
std::set<host_id> find_unfenced_witnesses(const shard_state& shard);

// Sets the gauges of a shard's takeover to 0: it is complete, or this owner has lost the shard.
void clear_takeover_gauges(const shard_state& shard);

// Returns how long a takeover lasts whose former owner's workers or witnesses mostly answer.
duration usual_takeover_limit(const shard_timing& timing);

// Returns the time until which a takeover may have to wait; nothing if it is complete.
std::optional<time_point> find_takeover_limit(const shard_state& shard);

// Processes an operator's statement, written after this owner's claim, that the shard's data centre
// is gone with all its hosts and workers.
void on_data_centre_gone(shard_state& shard, time_point now);

// Process the replies of a witness: that it confirmed this owner in a call sent at `sent`, and that
// since `since` it doesn't confirm any former owner nor act as one.
void on_witness_confirmed(shard_state& shard, const host_id& witness, time_point sent);
// `last_confirmation`: by when the witness had confirmed a former owner last.
void on_witness_fenced(shard_state& shard, const host_id& witness, time_point since,
                       time_point last_confirmation);

} // namespace fulmar
