// The workers' entries in the store. Workers write them, and so may others.
#include "bounded_json.hpp"
#include "host_control.hpp"

namespace fulmar {

void host_control::on_workers_change(const std::string& key, const store_entry* entry) {
    const worker_id id{key.substr(options_.layout.workers_prefix.size())};
    const auto unlist = [&] {
        if (worker_entries_.erase(id) == 0) {
            return;
        }
        for (const auto& [name, shard] : owned_) {
            on_worker_unlisted(shard->state, id, loop_.now());
        }
    };
    if (entry == nullptr) {
        unreadable_.erase(key);
        unlist();
        return;
    }
    auto worker = options_.layout.parse_worker(id.value, entry->value);
    if (worker && !options_.regions.contains(worker.value().data_centre)) {
        worker = error{error_kind::protocol_error, "no such data centre"};
    }
    if (!worker) {
        // Other writers may put entries under this prefix; each is reported once.
        if (unreadable_.insert(key).second) {
            counters_.count("unreadable_worker_entries");
            log_.write(R"(event=worker_entry_unreadable key="{}" detail="{}")", make_printable(key),
                       make_printable(worker.error().detail));
        }
        unlist();
        return;
    }
    if (!worker_entries_.contains(id)) {
        record_join(worker.value());
    }
    worker_entries_[id] = worker.value();
    for (const auto& [name, shard] : owned_) {
        if (shard->loaded && owns_worker(*shard, worker.value())) {
            on_worker_entry(shard->state, worker.value(), loop_.now());
            schedule_shard(shard);
        }
    }
    maintain_shard_list();
}

} // namespace fulmar
