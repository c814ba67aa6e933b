// The control thread of one host: tracks the other hosts, owns shards, applies operator orders and
// answers requests from callers and peers.
#pragma once

#include "config_change.hpp"
#include "fulmar/async_store.hpp"
#include "fulmar/event_loop.hpp"
#include "fulmar/peer_link.hpp"
#include "fulmar/site_config.hpp"
#include "fulmar/worker_link.hpp"
#include "host_gossip.hpp"
#include "monitored_store.hpp"
#include "shard_control.hpp"
#include "shard_list.hpp"
#include "store_view.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fulmar {

// Store keys of operator orders and worker entries on the platform, and their parsers.
struct site_layout {
    std::string config_key;         // of the newest configuration
    std::string evacuations_prefix; // followed by the name of an evacuated data centre
    std::string workers_prefix;     // followed by a worker's id
    std::function<result<site_config>(const std::string&)> parse_config;
    std::function<result<worker_entry>(const std::string& id, const std::string&)> parse_worker;
};

struct host_timing {
    duration tick{50};
    // Intervals of the datagrams to hosts in the same data centre, and of those to all other hosts,
    // which only shard owners and leaving hosts send.
    duration local_gossip_interval{200};
    duration global_gossip_interval{500};
    // Effect estimates change slowly and make a datagram several times as long, so they are sent
    // less often.
    duration effects_gossip_interval{2'000};
    // Failure timeouts: a host considers an owner in its data centre, in its region or elsewhere
    // failed when no datagram arrives within this time. The local timeout spans five datagrams; the
    // longer ones let nearer hosts act first.
    duration local_owner_timeout{1'000};
    duration region_owner_timeout{2'000};
    duration remote_owner_timeout{3'000};
    // An owner that gets no answer from the store for this long is replaced by a host that reaches
    // the store.
    duration store_outage_limit{2'500};
    // Tasks start only while the operator orders were confirmed within this time, as orders must
    // take effect within 5 s.
    duration freshness{4'000};
    // The same for the worker entries: a worker that has reported that it leaves must get no more
    // starts after 2.5 s on the strictest deployments; a start takes less than the rest.
    duration workers_freshness{2'000};
    // A host requests a shard that it should own instead of the current owner once it has run, and
    // the claim has been unchanged, for this long.
    duration settling_time{3'000};
    duration host_lease{20'000}; // of the host's record in the store
    // Of a call to another host. A submission isn't given up then, but sent again beside it.
    duration peer_timeout{800};
    duration request_retry{80}; // between attempts to reach a shard's owner
    // Requests are answered this long before the caller's deadline, so that the answer arrives in
    // time.
    duration answer_margin{150};
};

struct host_options {
    host_id name;
    std::string incarnation; // unique to this process start
    data_centre_id data_centre;
    std::map<data_centre_id, region_id> regions; // of all data centres
    socket_address peer_address;
    std::int64_t weight = 100; // processor share in thousandths of a core
    // Racks are added to a shard until it has this many workers. Smaller shards lend more of their
    // tasks to each other, and each loan takes several calls to the store.
    std::size_t workers_per_shard = 48;
    host_timing timing;
    shard_timing shard;
    site_layout layout;
};

using submit_callback = std::function<void(const submit_answer&)>;

// Receives a job's phase, or not_found, or unavailable if the phase can't be determined now.
using phase_callback = std::function<void(result<job_phase>)>;

enum class request_kind : std::uint8_t;

class host_control {
  public:
    host_control(host_options options, event_loop& loop, async_store& store, worker_link& workers,
                 peer_link& peers, metrics& counters, decision_log& log);
    ~host_control();
    host_control(const host_control&) = delete;
    host_control& operator=(const host_control&) = delete;
    host_control(host_control&&) = delete;
    host_control& operator=(host_control&&) = delete;

    void start();

    // Returns whether callers can be served: a configuration is in force and no stop has begun.
    bool ready() const;
    const site_config& config() const { return config_; }

    // Returns how many shards of this host wait for their predecessors' workers for longer than any
    // lease lasts: their inherited tasks don't run meanwhile.
    std::size_t overdue_takeovers() const;

    // Returns whether another host has announced a newer configuration than the one in force here.
    bool knows_newer_config() const;
    // Returns whether that has lasted so long that the one in force may no longer be applied.
    bool config_outdated() const;

    duration answer_margin() const { return options_.timing.answer_margin; }

    // Submits a job. `timeout` limits the calls to other hosts and to the store. A shard that this
    // host owns calls `done` once the job is stored or rejected, or with an unknown outcome if the
    // shard is dropped before; `timeout` doesn't limit that.
    void submit(const job_id& id, const queue_spec& queue, job_spec spec, duration timeout,
                submit_callback done);
    void query(const job_id& id, duration timeout, phase_callback done);
    // Cancels a job; the phase is `cancelled`, or the end state that the job reached before.
    void cancel(const job_id& id, duration timeout, phase_callback done);
    // Returns the number of accepted jobs of a queue that have not started.
    std::uint64_t pending(const queue_id& queue) const;

    // Records an answer that was given to a caller without submitting, querying or cancelling.
    void record_rejection(int status, std::string_view reason, std::string_view host,
                          std::string_view path);

    // Describes the owned shards in human-readable form: workers, unfinished jobs and runs, one per
    // line.
    std::string describe() const;

    // Hands over all shards, then calls `done`. All requests, also later ones, are answered by
    // `answer_by`; what this host can't serve by then is rejected, or its outcome is unknown if
    // another host may have received it.
    void drain(time_point answer_by, std::function<void()> done);

    // Returns the number of submissions, queries and cancellations that aren't answered yet.
    std::size_t open_requests() const { return open_requests_.size(); }

    // Process datagrams and calls from peers.
    void on_datagram(const std::string& datagram);
    void on_peer_call(const std::string& method, const std::string& body, const peer_reply& reply);

  private:
    // Processors that the owner of a shard needs for each worker, in thousandths of a core, at 1.3
    // starts per second and worker, and the share of a host's processors that may be used for this.
    static constexpr std::int64_t processors_per_worker = 3;
    static constexpr double usable_processor_share = 0.8;

    struct peer_row {
        host_record record;
        revision_number registered_revision; // of the record in the store
        time_point registered_at;            // when this incarnation's record was received
        std::optional<time_point> last_received;
        std::optional<time_point> unregistered_since; // since when the store has no record of it
        host_status status;
        // Earliest times of the next calls for its configuration and its copy of the evacuations.
        time_point next_config_call{};
        time_point next_orders_call{};
    };
    struct claim_row {
        claim_record record;
        revision_number revision;
        time_point first_seen; // when this revision was received
    };
    // Head of another host's shard in the store, while its owner may have failed.
    struct owner_progress {
        time_point suspected_at;
        std::optional<revision_number> head{}; // 0: no commit yet
        time_point read_at{};                  // when the first read that returned it was answered
        time_point next_read{};
        duration stalled_after; // without a new head, the owner has stopped storing
        duration window;        // until the next read
        bool stalled = false;   // a second read returned the same head
    };
    struct owned_shard {
        shard_state state;
        bool loaded = false;
        bool advance_pending = false;     // advance_shard is scheduled
        time_point next_transfer;         // earliest time of the next attempt to hand it over
        bool claim_check_pending = false; // a read of the claim is in flight
        host_id successor;                // host that requested the shard; empty: none
        host_id requested_by;             // host that requested it in the store, and when
        time_point requested_at{};
        std::vector<store_entry> loading;           // entries received by a load in progress
        std::vector<std::function<void()>> waiting; // called after loading or on drop
    };
    using shard_pointer = std::shared_ptr<owned_shard>;

    // Whether this host reaches the workers of a shard that it may claim.
    struct worker_reach {
        std::optional<time_point> answered;     // when a worker last answered
        std::optional<time_point> wanted_since; // when this host first wanted to claim the shard
        time_point last_wanted{};
        time_point next_probe{};
        std::size_t next_worker = 0; // first one of the next probe
    };

    // Accepted jobs of a shard that haven't started, by queue, as its last owner reported them.
    struct shard_backlog {
        epoch_number epoch;
        std::map<queue_id, std::uint64_t> pending;
    };

    // Run ends of a shard that this host lost, until the next owner has received them.
    struct passing_row {
        std::vector<listed_run_end> ends;
        time_point until;
        time_point next_attempt;
        bool in_flight = false;
    };

    // Room that the former owner of a shard passed on to the owner of this epoch.
    struct received_rooms {
        epoch_number epoch;
        passed_rooms rooms;
    };

    // What peers that this host receives datagrams from report about the store.
    struct peer_reports {
        bool store_reached = false;   // the store answers one of them
        bool orders_current = false;  // one that reaches it has no newer orders than this host
        bool from_most_hosts = false; // more than half of all hosts, this one included
    };

    // Membership and store views.
    void on_meta_change(const std::string& key, const store_entry* entry);
    void on_evacuation_change(const std::string& key, const store_entry* entry);
    void on_gone_statement(const data_centre_id& data_centre, const store_entry* entry);
    bool shows_life(const data_centre_id& data_centre) const;
    void apply_gone_statements();
    void on_workers_change(const std::string& key, const store_entry* entry);

    // Which hosts read the workers' entries.
    bool is_standby() const;
    bool suffices_for_shard(std::int64_t weight) const;
    bool reads_workers() const;
    void choose_workers_reader();
    void want_workers();
    void register_host();
    void put_host_record();
    void check_own_record(const store_entry* entry);
    void schedule_renewal();
    void renew_registration();
    void tick();
    void measure_delay();
    void gossip();
    host_status make_status() const;
    bool is_alive(const peer_row& peer) const;
    int distance_to(const data_centre_id& data_centre) const;
    peer_reports collect_reports() const;
    void update_freshness();
    bool is_reachable_from_others(const host_id& name) const;
    void fetch_orders();
    void update_start_permissions();

    // Distribution of the configuration.
    void on_config_entry(const store_entry& entry);
    bool precedes(const peer_row& peer) const;
    bool is_in_region(const peer_row& peer) const;
    std::optional<duration> config_age() const;
    bool has_other_reader(bool preceding_only) const;
    bool reads_config() const;
    std::size_t count_preceding_readers() const;
    void choose_config_reader();
    void confirm_config();
    void note_peer_config(const peer_row& peer);
    duration config_outdated_for() const;
    bool is_first_in_data_centre() const;
    void fetch_config();
    void apply_changes(const host_id& source, const std::string& text);
    void answer_config_call(const std::string& body, const peer_reply& reply);
    void set_config(site_config next, const config_change& change, std::string_view source,
                    std::size_t bytes);
    void announce_config(bool reader);

    // Ownership of shards.
    struct owner_option {
        bool store_unreachable = false; // for longer than the outage limit
        bool overloaded = false;
        int distance = 0;
        double load = 0; // processors that the workers need, relative to the host's
        std::uint64_t hash = 0;
        host_id name;
    };
    enum class claim_reason : std::uint8_t {
        none, // the shard isn't to be claimed
        unowned,
        own_restart,         // an earlier incarnation of this host owns it
        owner_restart,       // the owner runs as another incarnation now
        owner_without_store, // the owner can't write to the store
        owner_silent,        // no datagram from the owner arrives here or at its other peers
        owner_cut_off,       // no datagram from it, but it stores; it is asked in the store
        lost_epoch,          // this host owns it in an epoch that the workers reject
    };
    static std::string_view describe(claim_reason reason);
    void maintain_shard_list();
    rack_map describe_racks() const;
    void record_join(const worker_entry& worker);
    void extend_shard_list();
    void maintain_claims();
    void read_claim(const std::string& shard);
    duration owner_timeout(const data_centre_id& data_centre) const;
    duration owner_silence(const claim_row& claim) const;
    bool is_connected(const host_id& suspect) const;
    void track_progress(const shard_record& shard, const claim_row& claim);
    void record_head(const shard_id& shard, revision_number head, time_point sent);
    void apply_rejection(const shard_id& shard, const std::vector<store_entry>& present,
                         time_point sent);
    static bool needs_stalled_owner(claim_reason reason);
    bool has_stalled(const shard_id& shard) const;
    bool may_claim_since(const shard_record& shard, time_point due) const;
    claim_reason should_claim(const shard_record& shard, const claim_row* claim) const;
    void request_shards();
    void answer_yield_call(const std::string& body, const peer_reply& reply);
    void update_shard_sizes();
    std::optional<owner_option> find_best_owner(const shard_record& shard, const host_id& except,
                                                const host_id& candidate = {}) const;
    host_id choose_owner(const shard_record& shard, const host_id& except,
                         const host_id& candidate = {}) const;
    bool lacks_successor(const shard_record& shard) const;
    bool awaits_answers(const shard_record& shard) const;
    std::vector<host_id> choose_hosts_to_ask(const shard_record& shard) const;
    void ask_unheard_hosts();
    void ask_for_status(const host_id& name);
    std::string answer_status_call() const;
    std::size_t count_owned(const host_id& owner) const;
    std::set<host_id> list_owners() const;
    void claim_shard(const shard_record& shard, const claim_row* claim, claim_reason reason);
    std::vector<worker_target> list_workers(const shard_record& shard) const;
    void probe_workers(const shard_record& shard);
    bool reaches_workers(const shard_record& shard);
    bool is_isolated() const;
    void request_in_store(const shard_record& shard);
    void on_request_entry(const shard_id& id, const store_entry& entry);
    void answer_store_requests();
    void activate_shard(const shard_record& shard, epoch_number epoch, revision_number revision,
                        std::optional<time_point> predecessors_stored_by = {});
    void load_shard_page(const shard_pointer& shard, const std::string& after);
    void attach_workers(owned_shard& shard);
    void drop_shard(const shard_id& id, std::string_view reason);
    void transfer_shard(const shard_pointer& shard);
    bool pass_on_claim(const shard_record& shard);
    void notify_successor(const host_id& successor, const shard_id& shard);
    bool is_leaving(const peer_row& peer) const;
    bool owns_worker(const owned_shard& shard, const worker_entry& worker) const;

    // Witnesses of the owned shards.
    witness_sets choose_witnesses() const;
    void update_witnesses();
    void call_witnesses();
    void call_witness(const host_id& witness, const std::string& body,
                      const std::vector<shard_pointer>& confirmed,
                      const std::vector<shard_pointer>& fenced);
    void answer_witness_call(const std::string& body, const peer_reply& reply);
    time_point find_last_confirmation(const shard_id& shard) const;

    // Actions of the owned shards.
    void schedule_shard(const shard_pointer& shard);
    void handle_event(const shard_pointer& shard, std::string_view event,
                      const std::function<void()>& handler);
    void advance_shard(const shard_pointer& shard);
    void execute(const shard_pointer& shard, shard_actions& actions);
    void check_claim(const shard_pointer& shard);
    void update_rooms();
    void send_room_requests(const shard_pointer& shard);
    void answer_room_call(const std::string& body, const peer_reply& reply);
    void send_loan_message(const shard_pointer& shard, const loan_message& message);
    void answer_loan_call(const std::string& body, const peer_reply& reply);
    void answer_verified_offer(const shard_pointer& shard, const json& offer, offer_verdict verdict,
                               const peer_reply& reply);
    void process_loan_message(const shard_pointer& shard, const json& body,
                              const peer_reply& reply);

    void pass_on(const shard_id& id, const std::vector<listed_run_end>& ends);
    void pass_on_reply(const shard_pointer& shard, const worker_id& worker,
                       const result<hold_reply>& reply);
    void send_passed_ends();
    void answer_ends_call(const std::string& body, const peer_reply& reply);
    void pass_on_rooms(const host_id& successor, const std::string& rooms);
    void answer_rooms_call(const std::string& body, const peer_reply& reply);
    void inherit_rooms(owned_shard& shard);

    // Requests.
    void record_backlog(const shard_status& status);
    bool lacks_backlog(const shard_id& id) const;
    void fetch_backlogs();
    void read_backlogs(const std::string& text);
    std::string encode_backlogs() const;
    struct request;
    using request_pointer = std::shared_ptr<request>;
    request_pointer begin_request(request_kind kind, const job_id& id, duration timeout);
    bool reject_stopping(const request_pointer& request);
    void limit_requests(time_point answer_by);
    void close_request(const request_pointer& request);
    void answer_unserved(const request_pointer& request);
    void route_submit(const request_pointer& request);
    bool has_live_owner(const shard_id& shard) const;
    void submit_to(const request_pointer& request, const shard_id& shard);
    void plan_resend(const request_pointer& request, const shard_id& shard);
    void on_submit_answer(const request_pointer& request, const shard_id& shard,
                          std::size_t attempt, time_point sent, const submit_answer& answer);
    void answer_submission(const request_pointer& request, const shard_id& shard,
                           submit_answer answer);
    void mark_unconfirmed(const request_pointer& request, const shard_id& shard);
    void plan_index_check(const request_pointer& request);
    void check_index(const request_pointer& request, std::function<void()> if_absent);
    void submit_local(const shard_pointer& shard, const job_id& id, const queue_spec& queue,
                      const job_spec& spec, bool ignore_full, time_point store_by,
                      submit_callback done);
    std::vector<shard_id> rank_shards(const queue_spec& queue, const job_spec& spec) const;
    void locate(const request_pointer& request);
    void query_owner(const request_pointer& request, const shard_id& shard);
    void query_local(const shard_pointer& shard, const job_id& id, bool cancel,
                     phase_callback done);
    void retry_request(const request_pointer& request, std::function<void()> retry);
    void cache_location(const job_id& id, const shard_id& shard);
    shard_pointer find_owned(const shard_id& id) const;
    const peer_row* find_owner(const shard_id& id) const;
    void answer_submit_call(const std::string& body, const peer_reply& reply);
    void answer_phase_call(const std::string& body, const peer_reply& reply, bool cancel);

    host_options options_;
    host_id self_; // name and incarnation
    event_loop& loop_;
    monitored_store store_;
    worker_link& workers_;
    peer_link& peers_link_;
    metrics& counters_;
    decision_log& log_;

    std::map<host_id, peer_row> peers_; // by name, without this host
    std::vector<shard_record> shard_list_;
    revision_number shard_list_revision_;
    bool shard_list_update_pending_ = false; // an extension is scheduled or being written
    // When a worker of a rack without a shard was last seen for the first time.
    std::map<data_centre_id, time_point> last_join_;
    std::map<std::pair<data_centre_id, rack_id>, time_point> rack_first_seen_;
    std::map<shard_id, claim_row> claims_;
    std::map<shard_id, host_id> next_owners_; // by handovers that the store hasn't answered yet
    // Calls of a stopping host to hosts that may take its shards.
    std::size_t unanswered_asks_ = 0;
    time_point asks_end_; // from then on, it doesn't wait for their answers
    time_point next_asks_;
    std::map<shard_id, epoch_number> fenced_epochs_;  // highest epoch lost or released
    std::map<shard_id, time_point> shard_first_seen_; // when the shard was first seen in the list
    time_point next_shard_request_;
    std::map<worker_id, worker_entry> worker_entries_; // empty while this host doesn't read them
    std::optional<time_point> workers_wanted_;         // when they were last needed for a claim
    bool standby_ = false;
    time_point next_standby_check_;
    std::set<std::string> unreadable_; // keys already reported
    std::map<shard_id, shard_pointer> owned_;
    std::map<shard_id, passing_row> passing_;
    std::map<shard_id, received_rooms> received_rooms_; // of shards that aren't loaded yet
    std::map<shard_id, shard_backlog> backlogs_;        // of all shards that others own or owned
    time_point next_backlog_call_;
    std::size_t backlog_calls_ = 0;
    // As a witness, this host confirms no lower epochs of these shards.
    std::map<shard_id, epoch_number> witnessed_epochs_;
    std::map<shard_id, time_point> last_confirmations_; // of any owner, by this host
    std::map<host_id, time_point> next_witness_call_;   // earliest time of the next call
    time_point next_witness_choice_;
    struct shard_size {
        std::int64_t workers = 0;
        time_point seen; // when the shard last had that many
    };
    std::map<shard_id, shard_size> shard_sizes_;
    std::map<shard_id, time_point> next_request_; // earliest time of the next request
    time_point next_size_update_;
    std::set<shard_id> claiming_;
    std::map<shard_id, time_point> next_claim_; // earliest time of the next attempt
    std::map<shard_id, owner_progress> owner_progress_;
    std::map<shard_id, worker_reach> shard_reach_;
    site_config config_;
    std::optional<time_point> config_applied_; // when it came into force
    config_history config_history_;
    std::optional<time_point> config_confirmed_; // when the store had no newer one
    struct encoded_config {
        generation_number generation;
        std::string text;
    };
    encoded_config encoded_config_; // the whole configuration, for peers
    // Generations above the one in force, and when a peer first announced them.
    std::map<generation_number, time_point> newer_generations_;
    bool fetching_config_ = false;
    std::optional<time_point> reader_missing_since_; // in this region
    std::set<data_centre_id> evacuated_;
    std::map<data_centre_id, revision_number> gone_statements_;
    time_point next_gone_check_;
    std::optional<lease_id> lease_; // of this host's record in the store
    time_point lease_granted_{};
    std::uint64_t registration_ = 0;        // number of the present attempt to get a lease
    std::uint64_t record_writes_ = 0;       // number of the last write of the record
    revision_number own_record_revision_{}; // of the last one that is confirmed
    time_point next_own_record_write_{};    // after another process has replaced it
    time_point started_;
    // How late the control thread runs its ticks.
    time_point next_tick_;
    duration worst_delay_{0};    // in the current report interval
    std::uint64_t advances_ = 0; // of the owned shards, in the current report interval
    time_point next_delay_report_;
    time_point next_local_gossip_;
    time_point next_global_gossip_;
    time_point next_effects_gossip_;
    std::map<shard_id, std::vector<published_effect>>
        published_effects_; // last published by each shard
    time_point next_claim_check_;
    bool leaving_ = false;
    std::optional<time_point> answer_by_; // when this host must have answered all requests
    bool fetching_orders_ = false;
    bool orders_fresh_ = false;
    bool workers_fresh_ = false;
    // When the store last answered neither this host nor those that it receives datagrams from.
    std::optional<time_point> last_outage_;
    std::function<void()> on_drained_;
    std::uint64_t next_token_ = 1;
    std::set<request_pointer> open_requests_; // not answered yet
    std::map<request_token, submit_callback> submit_waiting_;
    std::map<request_token, phase_callback> cancel_waiting_;
    std::map<request_token, peer_reply> loan_waiting_;
    time_point next_room_update_;
    std::map<job_id, shard_id> location_cache_;
    std::vector<job_id> location_cache_keys_; // ring of the keys of location_cache_
    std::size_t location_cache_next_ = 0;

    store_view meta_;
    store_view config_view_; // paused unless this host reads for its region
    store_view orders_;
    store_view worker_view_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace fulmar
