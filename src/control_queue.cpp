#include "control_queue.hpp"

namespace fulmar {

void control_queue::post(event next) {
    {
        const std::lock_guard lock(mutex_);
        events_.push_back(std::move(next));
    }
    event_posted_.notify_one();
}

void control_queue::run_for(duration limit) {
    std::vector<event> batch;
    {
        std::unique_lock lock(mutex_);
        event_posted_.wait_for(lock, limit, [this] { return !events_.empty(); });
        batch.swap(events_);
    }
    for (const auto& next : batch) {
        next();
    }
}

} // namespace fulmar
