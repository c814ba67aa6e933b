// Detects which schedulers of a data centre are alive and decides which of them should own a cell.
// Does no I/O.
#pragma once

#include "fulmar/types.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

struct membership_timing {
    duration heartbeat_interval{600};
    // Five consecutive lost heartbeats. Adoption must complete before worker leases of 10 s expire.
    duration failure_timeout{3'000};
    // Rebalancing hands no cell to a member that joined or returned less than this long ago.
    duration settling_time{30'000};
};

// A cell that the sender of a heartbeat owns, and its epoch.
struct owned_cell {
    cell_id cell;
    epoch_number epoch;
};

// Heartbeat, sent to every scheduler of the data centre at each heartbeat interval.
struct heartbeat {
    host_id instance;
    data_centre_id data_centre;
    generation_number generation; // of the configuration in force
    bool leaving = false;         // the sender is shutting down and must get no cells
    std::vector<owned_cell> cells;
};

struct peer_state {
    heartbeat last_heartbeat;
    time_point first_received;
    time_point last_received;
};

// Ownership of one cell as stored, received or observed.
struct cell_ownership {
    epoch_number highest_epoch; // highest epoch read from the store or received from workers or in
                                // heartbeats
    host_id owner;              // instance that holds that epoch; empty when unknown
    time_point owner_since;     // when the owner, or the lack of one, was first recorded
};

struct membership {
    host_id self;
    data_centre_id data_centre;
    membership_timing timing;
    time_point started;
    bool leaving = false;
    std::map<host_id, peer_state> peers;
    std::map<cell_id, cell_ownership> cells;
};

// Convert heartbeats to and from MessagePack. Parsing returns protocol_error for malformed data or
// an unsupported version.
std::string serialize(const heartbeat& message);
result<heartbeat> parse_heartbeat(std::string_view datagram);

// Applies a heartbeat. Ignores heartbeats of other data centres and of this instance.
void on_heartbeat(membership& members, const heartbeat& message, time_point now);

// Records an owner and epoch. An epoch below the highest one changes nothing.
void record_claim(membership& members, const cell_id& cell, const host_id& owner,
                  epoch_number epoch, time_point now);

// Returns whether a heartbeat of the instance was received within the failure timeout. Always true
// for this instance.
bool is_alive(const membership& members, const host_id& instance, time_point now);

// Returns the live scheduler that should own a cell: the one with the highest rendezvous hash,
// without those that are shutting down.
host_id choose_owner(const membership& members, const cell_id& cell, time_point now);

// Returns the cells that this instance should adopt now: cells for which it is the chosen owner and
// whose owner is unreachable, or that have had no owner for the failure timeout.
std::vector<owned_cell> find_adoptable(const membership& members, time_point now);

// Returns a cell to release when this instance owns at least two cells more than its share and a
// settled peer is the chosen owner of that cell. The margin of two keeps a restart alone from
// moving cells.
std::optional<cell_id> find_surplus(const membership& members, const std::vector<cell_id>& owned,
                                    time_point now);

// Returns the live peers whose configuration generation is above `generation`.
std::vector<host_id> find_newer_peers(const membership& members, generation_number generation,
                                      time_point now);

} // namespace fulmar
