// Queue that passes events from other threads to a control thread.
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

    // Adds an event; may be called on any thread.
    void post(event next);

    // Waits up to `limit` for events, then runs all events queued at that moment; events posted by
    // them run in the next call. Only the control thread may call this.
    void run_for(duration limit);

  private:
    std::mutex mutex_;
    std::condition_variable event_posted_;
    std::vector<event> events_;
};

} // namespace fulmar
