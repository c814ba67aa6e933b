// Thread pool for blocking calls, with a bounded number of pending jobs.
#pragma once

#include <asio/post.hpp>
#include <asio/thread_pool.hpp>

#include <atomic>
#include <cstddef>
#include <functional>

namespace fulmar {

class blocking_pool {
  public:
    blocking_pool(std::size_t threads, std::size_t job_limit)
        : threads_(threads)
        , job_limit_(job_limit) {}

    // Runs the job on a thread of the pool. Returns false, without running it, when the number of
    // pending and running jobs has reached the limit.
    bool submit(std::function<void()> job) {
        if (jobs_.fetch_add(1) >= job_limit_) {
            --jobs_;
            return false;
        }
        asio::post(threads_, [this, job = std::move(job)] {
            job();
            --jobs_;
        });
        return true;
    }

    // Waits for all jobs to end; submit must not be called afterwards.
    void join() { threads_.join(); }

  private:
    asio::thread_pool threads_;
    std::size_t job_limit_;
    std::atomic<std::size_t> jobs_{0};
};

} // namespace fulmar
