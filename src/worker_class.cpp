#include "worker_class.hpp"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace fulmar {

namespace {

// Limits of what is published of a class, in rows of resources, labels and bytes of a label.
constexpr std::size_t rows_limit = 8;
constexpr std::size_t labels_limit = 16;
constexpr std::size_t label_size_limit = 64;

bool has_label(const worker_class& workers, const std::vector<rack_id>& racks,
               const std::string& label) {
    return label.empty() || workers.other_labels ||
           std::find(workers.labels.begin(), workers.labels.end(), label) != workers.labels.end() ||
           std::find(racks.begin(), racks.end(), rack_id{label}) != racks.end();
}

// Returns whether `own` are the labels without the rack's. Workers of one kind list theirs in the
// same order.
bool same_without_rack(const std::vector<std::string>& own, const std::vector<std::string>& labels,
                       const rack_id& rack) {
    auto next = own.begin();
    for (const auto& label : labels) {
        if (label == rack.value) {
            continue;
        }
        if (next == own.end() || *next != label) {
            return false;
        }
        ++next;
    }
    return next == own.end();
}

// Adds a row unless another one is at least as large, and removes those that it outdoes.
void add_row(std::vector<resources>& rows, const resources& next) {
    if (std::any_of(rows.begin(), rows.end(),
                    [&](const resources& row) { return fits(next, row); })) {
        return;
    }
    std::erase_if(rows, [&](const resources& row) { return fits(row, next); });
    rows.push_back(next);
}

// Orders rows so that the first one has the most processors, and the last one the most of something
// else.
void sort_rows(std::vector<resources>& rows) {
    std::sort(rows.begin(), rows.end(), [](const resources& a, const resources& b) {
        return std::tie(a.processors, a.accelerators, a.memory) >
               std::tie(b.processors, b.accelerators, b.memory);
    });
}

resources largest_of_each(const resources& a, const resources& b) {
    return {std::max(a.processors, b.processors), std::max(a.memory, b.memory),
            std::max(a.accelerators, b.accelerators)};
}

// Joins neighbouring rows into rows that are as large as both.
void join_rows(std::vector<resources>& rows) {
    sort_rows(rows);
    while (rows.size() > rows_limit) {
        std::vector<resources> joined;
        for (std::size_t i = 0; i + 1 < rows.size(); i += 2) {
            joined.push_back(largest_of_each(rows[i], rows[i + 1]));
        }
        if (rows.size() % 2 == 1) {
            joined.push_back(rows.back());
        }
        rows = std::move(joined);
    }
}

// Keeps the rows with the most and the least processors, and some in between, among them the one
// with the most accelerators.
void thin_rows(std::vector<resources>& rows) {
    sort_rows(rows);
    if (rows.size() <= rows_limit) {
        return;
    }
    std::vector<resources> kept;
    for (std::size_t i = 0; i < rows_limit; ++i) {
        kept.push_back(rows[i * (rows.size() - 1) / (rows_limit - 1)]);
    }
    const auto most_accelerators =
        std::max_element(rows.begin(), rows.end(), [](const resources& a, const resources& b) {
            return a.accelerators < b.accelerators;
        });
    if (std::find(kept.begin(), kept.end(), *most_accelerators) == kept.end()) {
        kept[rows_limit / 2] = *most_accelerators;
    }
    rows = std::move(kept);
}

// Adds all of a class to another one.
void join_class(worker_class& into, const worker_class& from) {
    for (const auto& label : from.labels) {
        if (std::find(into.labels.begin(), into.labels.end(), label) == into.labels.end()) {
            into.labels.push_back(label);
        }
    }
    into.other_labels = into.other_labels || from.other_labels;
    into.workers += from.workers;
    for (const auto& row : from.capacity) {
        add_row(into.capacity, row);
    }
    for (const auto& row : from.free) {
        add_row(into.free, row);
    }
    into.total_free = into.total_free + from.total_free;
}

} // namespace

resources counted_need(const step_spec& step) {
    auto need = step.need;
    if (step.filler) {
        need.processors = {0};
    }
    return need;
}

std::int64_t count_fitting(const resources& need, const resources& amount) {
    if (!fits(need, amount)) {
        return 0;
    }
    std::int64_t tasks = std::numeric_limits<std::int32_t>::max();
    for (const auto& [wanted, available] :
         {std::pair(need.processors.value, amount.processors.value),
          std::pair(need.memory.value, amount.memory.value),
          std::pair(need.accelerators.value, amount.accelerators.value)}) {
        tasks = wanted > 0 ? std::min(tasks, available / wanted) : tasks;
    }
    return tasks;
}

worker_class& add_worker(std::vector<worker_class>& classes, const std::vector<std::string>& labels,
                         const rack_id& rack, const resources& capacity) {
    auto found = std::find_if(classes.begin(), classes.end(), [&](const worker_class& row) {
        return same_without_rack(row.labels, labels, rack);
    });
    if (found == classes.end()) {
        worker_class next;
        next.labels = labels;
        std::erase(next.labels, rack.value);
        classes.push_back(std::move(next));
        found = std::prev(classes.end());
    }
    ++found->workers;
    add_row(found->capacity, capacity);
    return *found;
}

void add_free(worker_class& workers, const resources& free) {
    // Negative while a reservation waits for tasks that still run.
    const auto left = largest_of_each(free, {});
    add_row(workers.free, left);
    workers.total_free = workers.total_free + left;
}

void limit_classes(std::vector<worker_class>& classes, std::size_t limit) {
    while (classes.size() > std::max<std::size_t>(1, limit)) {
        const auto last = std::move(classes.back());
        classes.pop_back();
        join_class(classes.back(), last);
    }
    for (auto& workers : classes) {
        const auto listed = workers.labels.size();
        std::erase_if(workers.labels,
                      [](const std::string& label) { return label.size() > label_size_limit; });
        workers.labels.resize(std::min(workers.labels.size(), labels_limit));
        workers.other_labels = workers.other_labels || workers.labels.size() < listed;
        join_rows(workers.capacity);
        thin_rows(workers.free);
    }
}

bool could_run(const std::vector<worker_class>& classes, const std::vector<rack_id>& racks,
               const step_spec& step) {
    const auto need = counted_need(step);
    const std::int64_t wanted = step.gang ? step.count : 1;
    std::int64_t tasks = 0;
    for (const auto& workers : classes) {
        if (!has_label(workers, racks, step.label)) {
            continue;
        }
        std::int64_t on_one = 0;
        for (const auto& row : workers.capacity) {
            on_one = std::max(on_one, count_fitting(need, row));
        }
        if (step.spread_limit > 0) {
            on_one = std::min<std::int64_t>(on_one, step.spread_limit);
        }
        tasks += on_one * workers.workers;
    }
    return tasks >= wanted;
}

std::size_t count_room_for(const std::vector<worker_class>& classes,
                           const std::vector<rack_id>& racks, const step_spec& step,
                           std::size_t present) {
    const auto need = counted_need(step);
    std::int64_t tasks = 0;
    std::int64_t workers_left = 0;
    for (const auto& workers : classes) {
        const bool fits_one = has_label(workers, racks, step.label) &&
                              std::any_of(workers.free.begin(), workers.free.end(),
                                          [&](const resources& row) { return fits(need, row); });
        if (fits_one) {
            // None if the sum shrank because tasks were given room since.
            tasks += count_fitting(need, workers.total_free);
            workers_left += workers.workers;
        }
    }
    if (step.spread_limit > 0) {
        const auto limit = workers_left * static_cast<std::int64_t>(step.spread_limit);
        tasks = std::min(tasks, limit - static_cast<std::int64_t>(present));
    }
    return static_cast<std::size_t>(std::max<std::int64_t>(0, tasks));
}

void deduct_tasks(std::vector<worker_class>& classes, const std::vector<rack_id>& racks,
                  const step_spec& step, std::size_t tasks) {
    const auto need = counted_need(step);
    auto left = static_cast<std::int64_t>(tasks);
    for (auto& workers : classes) {
        const auto row = std::find_if(workers.free.begin(), workers.free.end(),
                                      [&](const resources& free) { return fits(need, free); });
        if (left == 0 || row == workers.free.end() || !has_label(workers, racks, step.label)) {
            continue;
        }
        const auto given = std::min(left, count_fitting(need, workers.total_free));
        // The tasks are spread over workers, of which the row shows one.
        *row = *row - need;
        workers.total_free = workers.total_free - resources{{need.processors.value * given},
                                                            {need.memory.value * given},
                                                            {need.accelerators.value * given}};
        left -= given;
    }
}

} // namespace fulmar
