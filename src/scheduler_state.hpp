// State of a scheduler process, shared by its control thread and its store threads.
#pragma once

#include "config_follower.hpp"
#include "control_queue.hpp"
#include "fulmar/http_client.hpp"
#include "fulmar/store_http.hpp"
#include "heartbeat_socket.hpp"
#include "member_registration.hpp"
#include "membership.hpp"
#include "scheduler.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace fulmar {

// Limits the rate at which jobs leave a draining data centre, and distributes them over the cells
// that accept starts.
struct handover_budget {
    std::int64_t bytes = 0; // bytes that may be sent now
    time_point last_refill;
    std::size_t next_target = 0;
};

struct scheduler {
    scheduler_settings options;
    host_id instance;
    metrics counters;
    http_client http;
    control_queue queue;   // events for the control thread
    control_queue commits; // store writes of group commits, in order
    config_follower config{counters};
    std::atomic<bool> stopping{false};
    std::atomic<bool> ready{false};
    std::atomic<bool> registered{false};

    // Owned by the control thread.
    std::map<cell_id, cell_state> cells;
    std::map<job_id, cell_job> jobs; // jobs of all cells of this data centre, regardless of the
                                     // cells' owners
    std::map<cell_id, data_centre_id> cell_data_centres; // for the cells of all data centres
    std::map<data_centre_id, data_centre_state> data_centre_states;
    handover_budget handovers;
    std::map<team_id, resources> quotas;
    std::map<worker_id, cell_id> worker_cells; // for the workers of all data centres
    bool quotas_changed = false;               // quotas, workers or the set of owned cells changed
    std::optional<data_centre_state> state;
    std::optional<time_point> state_confirmed;
    membership members;
    std::map<host_id, member_record> peers; // from the store; kept while the store is unreachable

    // Guards the control state that other threads read.
    std::mutex shared_mutex;
    std::map<worker_id, std::string> shared_addresses;
    std::vector<std::string> shared_peer_addresses; // peers that serve the configuration
    std::string status = "{}";
};

// Returns a client of the platform's store for the calling thread.
std::unique_ptr<store_client> make_store(scheduler& self);

// Deactivates a cell and records in the membership that it has no owner. The registration thread
// releases the claim.
void release_cell(scheduler& self, cell_state& cell, std::string_view reason);

} // namespace fulmar
