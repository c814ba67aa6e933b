#include "shard_search.hpp"

#include <algorithm>
#include <utility>

namespace fulmar {

namespace {

// A failed search is repeated on all workers after this, in case that a change was not seen.
constexpr duration complete_interval{1'000};

// The same for fillers that fit on a worker but not at the pace that they need: the pace also
// changes with measurements on other workers.
constexpr duration pace_interval{300};

bool is_class_of(const search_class& known, const service_id& service, const step_spec& step) {
    return known.filler == step.filler && (!step.filler || known.image == step.image) &&
           known.label == step.label && known.service == service;
}

bool any_above(const resources& a, const resources& b) {
    return a.processors > b.processors || a.memory > b.memory || a.accelerators > b.accelerators;
}

} // namespace

const failed_search* find_failed(const search_memory& memory, const service_id& service,
                                 const step_spec& step, double min_pace) {
    const failed_search* best = nullptr;
    for (const auto& known : memory.classes) {
        if (!is_class_of(known, service, step)) {
            continue;
        }
        for (const auto& failed : known.failed) {
            if (fits(failed.need, step.need) && (!step.filler || min_pace > failed.best_pace) &&
                (best == nullptr || failed.change > best->change)) {
                best = &failed;
            }
        }
        return best;
    }
    return best;
}

void record_failed(search_memory& memory, const service_id& service, const step_spec& step,
                   const failed_search& failed) {
    auto known =
        std::find_if(memory.classes.begin(), memory.classes.end(),
                     [&](const search_class& row) { return is_class_of(row, service, step); });
    if (known == memory.classes.end()) {
        memory.classes.push_back(
            {service, step.label, step.filler, step.filler ? step.image : std::string(), {}});
        known = std::prev(memory.classes.end());
    }
    // A search that answers for every need that an earlier one answers for replaces it.
    std::erase_if(known->failed, [&](const failed_search& row) {
        return row.need == failed.need ||
               (fits(failed.need, row.need) && failed.best_pace <= row.best_pace &&
                failed.change >= row.change && failed.complete >= row.complete);
    });
    known->failed.push_back(failed);
}

void expire_failed(search_memory& memory, time_point now) {
    std::erase_if(memory.classes, [&](search_class& known) {
        std::erase_if(known.failed, [&](const failed_search& failed) {
            return now >=
                   failed.complete + (failed.best_pace >= 0 ? pace_interval : complete_interval);
        });
        return known.failed.empty();
    });
}

void update_view(search_memory& memory, room_view& view, room_view next) {
    next.grown = view.grown;
    next.filler_grown = view.filler_grown;
    const bool grown = !view.accepts || view.releases != next.releases ||
                       any_above(next.free, view.free) || view.service != next.service ||
                       view.labels != next.labels;
    const bool filler_grown = next.filler > view.filler || (next.alone && !view.alone) ||
                              (next.serves && next.filler > 0 && next.measured != view.measured);
    if (next.accepts && (grown || filler_grown)) {
        ++memory.change;
        next.grown = grown ? memory.change : next.grown;
        next.filler_grown = memory.change;
    }
    view = std::move(next);
}

} // namespace fulmar
