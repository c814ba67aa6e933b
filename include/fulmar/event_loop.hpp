// Clock and timers of the control thread; an interface, so that tests can use a simulated clock.
#pragma once

#include "fulmar/job.hpp"

#include <functional>

namespace fulmar {

class event_loop {
  public:
    event_loop() = default;
    virtual ~event_loop() = default;
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    virtual time_point now() const = 0;
    virtual unix_time unix_now() const = 0;

    // Runs `task` on the control thread after `delay`.
    virtual void call_after(duration delay, std::function<void()> task) = 0;
};

} // namespace fulmar
