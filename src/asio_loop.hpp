// The control thread's event loop, implemented with Asio.
#pragma once

#include "fulmar/event_loop.hpp"
#include "steady_clock.hpp"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <memory>

namespace fulmar {

class asio_loop final : public event_loop {
  public:
    time_point now() const override { return steady_now(); }

    unix_time unix_now() const override {
        const auto since = std::chrono::system_clock::now().time_since_epoch();
        return {std::chrono::duration_cast<duration>(since).count()};
    }

    void call_after(duration delay, std::function<void()> task) override {
        if (delay.count() <= 0) {
            asio::post(io_, std::move(task));
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(io_, delay);
        timer->async_wait([timer, task = std::move(task)](const asio::error_code& failed) {
            if (!failed) {
                task();
            }
        });
    }

    asio::io_context& io() { return io_; }

  private:
    asio::io_context io_{1};
};

} // namespace fulmar
