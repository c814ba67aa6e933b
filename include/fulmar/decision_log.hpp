// Structured log lines on standard output: bounded in volume, written by a thread of their own so
// that the control thread never blocks on them.
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

// Limits of the volume. Lines beyond the rate or the buffer are left out and counted; the count is
// printed with the next line that is written.
struct decision_log_limits {
    std::uint32_t lines_per_second = 200; // about 30 KB/s, a tenth of a percent of a core
    std::uint32_t burst = 1'000;
    std::size_t buffer_bytes = 256 * 1024;
};

// Takes complete lines; writes them out in the background. Safe for use by several threads.
class decision_log {
  public:
    // Receives a batch of lines; may block.
    using sink = std::function<void(const std::string& lines)>;

    // Returns milliseconds since 1970, for the time in each line.
    using time_source = std::function<std::int64_t()>;

    // `common` is added to every line, for example the host's name.
    decision_log(std::string common, const decision_log_limits& limits, sink out,
                 time_source clock = {});
    ~decision_log();
    decision_log(const decision_log&) = delete;
    decision_log& operator=(const decision_log&) = delete;
    decision_log(decision_log&&) = delete;
    decision_log& operator=(decision_log&&) = delete;

    // Writes one line of key=value pairs. Values with blanks must be quoted by the caller.
    template <class... Args>
    void write(fmt::format_string<Args...> format, Args&&... args) {
        if (admit()) {
            append(fmt::format(format, std::forward<Args>(args)...));
        }
    }

    // Writes out what is buffered and returns when it is out.
    void flush();

    std::uint64_t dropped() const;

  private:
    bool admit();
    void append(const std::string& text);
    void run();

    const std::string common_;
    const decision_log_limits limits_;
    const sink out_;
    const time_source clock_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::condition_variable idle_;
    std::string buffer_; // guarded by mutex_, as are the members below
    bool writing_ = false;
    bool stopping_ = false;
    bool flushing_ = false;
    double tokens_;
    std::chrono::steady_clock::time_point refilled_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_ = 0;
    std::thread thread_;
};

// Returns a log that writes nothing, for tests and defaults.
decision_log& null_log();

} // namespace fulmar
