// A few threads for calls that block, with a bounded number of jobs that wait for them.
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

    // Runs the job on a thread of the pool; returns false when too many jobs are waiting.
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

    // Waits for all jobs; submit must not be called afterwards.
    void join() { threads_.join(); }

  private:
    asio::thread_pool threads_;
    std::size_t job_limit_;
    std::atomic<std::size_t> jobs_{0};
};

} // namespace fulmar
