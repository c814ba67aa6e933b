// Rate-limited structured log; the daemons write it to standard output. A dedicated thread writes
// the lines, so that the control thread never blocks on output.
#pragma once

#include "fulmar/types.hpp"

#include <fmt/format.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace fulmar {

// Limits of the log volume. Lines that exceed the rate or the buffer are dropped; the next line
// that is written reports their number.
struct decision_log_limits {
    std::uint32_t lines_per_second = 200; // about 30 KB/s, 0.1 % of a core
    // A larger burst doesn't fit into one write of 16 KB, and readers with a buffer of that size
    // lose the rest without a trace.
    std::uint32_t burst = 60;
    std::uint32_t rare_lines_per_second = 20;
    std::uint32_t rare_burst = 40;
    std::size_t buffer_bytes = 256 * 1024;
};

// Buffers lines and writes them in the background. Thread-safe.
class decision_log {
  public:
    // Receives a batch of lines; may block.
    using sink = std::function<void(const std::string& lines)>;

    // Returns the time for the time stamp of each line, in milliseconds since 1970.
    using time_source = std::function<std::int64_t()>;

    // `common` is written at the start of every line, for example the host's name.
    decision_log(std::string common, const decision_log_limits& limits, sink out,
                 time_source clock = {});
    ~decision_log();
    decision_log(const decision_log&) = delete;
    decision_log& operator=(const decision_log&) = delete;
    decision_log(decision_log&&) = delete;
    decision_log& operator=(decision_log&&) = delete;

    // Logs one line of key=value pairs. The caller must quote values that contain spaces.
    template <class... Args>
    void write(fmt::format_string<Args...> format, Args&&... args) {
        if (acquire_token(routine_)) {
            append(fmt::format(format, std::forward<Args>(args)...));
        }
    }

    // Logs a line about ownership, a dependency or the state of the process. Such lines have a rate
    // limit of their own, so that bursts of lines about tasks don't displace them.
    template <class... Args>
    void write_rare(fmt::format_string<Args...> format, Args&&... args) {
        if (acquire_token(rare_)) {
            append(fmt::format(format, std::forward<Args>(args)...));
        }
    }

    // Writes the buffered lines and returns once they are written.
    void flush();

    // Returns the number of lines dropped so far.
    std::uint64_t dropped() const;

  private:
    struct rate_limit {
        std::uint32_t lines_per_second = 0;
        std::uint32_t burst = 0;
        double tokens = 0;
        std::chrono::steady_clock::time_point last_refill;
    };

    bool acquire_token(rate_limit& limit);
    void append(const std::string& text);
    void run();

    const std::string common_;
    const decision_log_limits limits_;
    const sink sink_;
    const time_source clock_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::condition_variable idle_;
    std::string buffer_; // guarded by mutex_, as are the members below
    bool writing_ = false;
    bool stopping_ = false;
    bool flushing_ = false;
    rate_limit routine_;
    rate_limit rare_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_dropped_ = 0;
    std::thread thread_;
};

// Returns a log that discards every line, for tests and as a default.
decision_log& null_log();

} // namespace fulmar
