// This host's record in the store, from which the others know its address: written at the start,
// and again whenever the store loses it.
#include "host_control.hpp"

#include <algorithm>

namespace fulmar {

void host_control::register_host() {
    const auto registration = ++registration_;
    store_.grant_lease(
        options_.timing.host_lease, [this, alive = alive_, registration](result<lease_id> lease) {
            if (!*alive || registration != registration_) {
                return;
            }
            if (!lease) {
                loop_.call_after(options_.timing.region_owner_timeout, [this, alive, registration] {
                    if (*alive && registration == registration_) {
                        register_host();
                    }
                });
                return;
            }
            lease_ = lease.value();
            lease_granted_ = loop_.now();
            put_host_record();
            schedule_renewal();
        });
}

// Writes the record under the present lease, until the store confirms it.
void host_control::put_host_record() {
    const host_record record{options_.name, options_.incarnation, options_.data_centre,
                             options_.peer_address, options_.weight};
    const auto number = ++record_writes_;
    store_transaction put;
    put.puts.push_back({std::string(hosts_prefix) + options_.name.value, encode(record), *lease_});
    store_.commit(std::move(put), [this, alive = alive_, number](result<transaction_reply> reply) {
        if (!*alive || number != record_writes_) {
            return;
        }
        if (reply) {
            own_record_revision_ = reply.value().applied.value_or(own_record_revision_);
            return;
        }
        log_.write_rare("event=registration_failed reason={}", to_string(reply.error().kind));
        // Without its record, the other hosts don't know this one's address.
        const auto retry = options_.timing.region_owner_timeout;
        const bool expired = reply.error().kind == error_kind::expired;
        const auto delay = expired ? lease_granted_ + retry - loop_.now() : retry;
        loop_.call_after(std::max(duration(0), delay), [this, alive, number, expired] {
            if (!*alive || number != record_writes_) {
                return;
            }
            if (expired) {
                register_host();
            } else {
                put_host_record();
            }
        });
    });
}

// Writes the record again if the store has deleted it although this host is alive, or if a write of
// an earlier process of this host was carried out late and has replaced it.
void host_control::check_own_record(const store_entry* entry) {
    if (!lease_) {
        return; // it is about to be written
    }
    if (entry == nullptr) {
        log_.write_rare("event=registration_removed");
        put_host_record();
        return;
    }
    const auto record = parse_host_record(entry->value);
    const bool own = record && record.value().incarnation == options_.incarnation;
    const bool replaced =
        !own && own_record_revision_ != revision_number{} && entry->revision > own_record_revision_;
    if (!replaced) {
        return;
    }
    log_.write_rare("event=registration_replaced revision={}", entry->revision.value);
    // If two processes have the same name, each replaces the other's record at intervals only.
    const auto at = std::max(loop_.now(), next_own_record_write_);
    next_own_record_write_ = at + options_.timing.region_owner_timeout;
    loop_.call_after(at - loop_.now(), [this, alive = alive_, number = record_writes_] {
        if (*alive && number == record_writes_) {
            put_host_record();
        }
    });
}

void host_control::schedule_renewal() {
    loop_.call_after(options_.timing.host_lease / 3,
                     [this, alive = alive_, registration = registration_] {
                         if (*alive && registration == registration_) {
                             renew_registration();
                         }
                     });
}

// Renews the lease of the record; registers again if it has expired.
void host_control::renew_registration() {
    store_.keep_alive(*lease_,
                      [this, alive = alive_, registration = registration_](result<void> reply) {
                          if (!*alive || registration != registration_) {
                              return;
                          }
                          if (!reply && reply.error().kind == error_kind::expired) {
                              log_.write_rare("event=registration_expired");
                              register_host();
                              return;
                          }
                          schedule_renewal();
                      });
}

} // namespace fulmar
