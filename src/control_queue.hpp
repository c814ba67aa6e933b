// Hands events from traffic threads to a control thread.
#pragma once

#include "fulmar/types.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <vector>

namespace fulmar {

class control_queue {
  public:
    using event = std::function<void()>;

    // Adds an event; safe from any thread.
    void post(event next);

    // Waits up to `limit` for events, then runs all that are queued. Only the control thread calls
    // this.
    void run_for(duration limit);

  private:
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::vector<event> events_;
};

} // namespace fulmar
