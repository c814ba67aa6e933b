#include "fulmar/decision_log.hpp"

#include "crash_report.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Lines are buffered for this time before they are written, so that a burst needs only one write.
constexpr std::chrono::milliseconds write_interval{250};

std::int64_t system_milliseconds() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

decision_log::decision_log(std::string common, const decision_log_limits& limits, sink out,
                           time_source clock)
    : common_(std::move(common))
    , limits_(limits)
    , sink_(std::move(out))
    , clock_(clock ? std::move(clock) : system_milliseconds)
    , routine_{limits.lines_per_second, limits.burst, static_cast<double>(limits.burst),
               std::chrono::steady_clock::now()}
    , rare_{limits.rare_lines_per_second, limits.rare_burst, static_cast<double>(limits.rare_burst),
            routine_.last_refill} {
    if (sink_) {
        thread_ = std::thread([this] { run(); });
    }
}

decision_log::~decision_log() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

bool decision_log::acquire_token(rate_limit& limit) {
    if (!sink_) {
        return false;
    }
    const std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> passed = now - limit.last_refill;
    limit.last_refill = now;
    limit.tokens =
        std::min<double>(limit.burst, limit.tokens + passed.count() * limit.lines_per_second);
    if (limit.tokens < 1 || buffer_.size() > limits_.buffer_bytes) {
        ++dropped_;
        return false;
    }
    --limit.tokens;
    return true;
}

void decision_log::append(const std::string& text) {
    note_last_decision(text);
    const std::lock_guard lock(mutex_);
    const bool first = buffer_.empty();
    const auto now = clock_();
    buffer_ += fmt::format("ts={}.{:03}", now / 1000, now % 1000);
    buffer_ += ' ';
    buffer_ += common_;
    buffer_ += ' ';
    buffer_ += text;
    if (dropped_ != reported_dropped_) {
        buffer_ += fmt::format(" dropped_lines={}", dropped_ - reported_dropped_);
        reported_dropped_ = dropped_;
    }
    buffer_ += '\n';
    if (first) {
        wake_.notify_one();
    }
}

void decision_log::flush() {
    std::unique_lock lock(mutex_);
    flushing_ = true;
    wake_.notify_all();
    idle_.wait(lock, [this] { return (buffer_.empty() && !writing_) || !thread_.joinable(); });
    flushing_ = false;
}

std::uint64_t decision_log::dropped() const {
    const std::lock_guard lock(mutex_);
    return dropped_;
}

// Thread function: waits for the first line, buffers for `write_interval` and writes the batch.
void decision_log::run() {
    std::unique_lock lock(mutex_);
    while (true) {
        wake_.wait(lock, [this] { return stopping_ || !buffer_.empty(); });
        wake_.wait_for(lock, write_interval, [this] { return stopping_ || flushing_; });
        std::string batch;
        batch.swap(buffer_);
        writing_ = true;
        lock.unlock();
        if (!batch.empty()) {
            sink_(batch);
        }
        lock.lock();
        writing_ = false;
        idle_.notify_all();
        if (stopping_ && buffer_.empty()) {
            return;
        }
    }
}

decision_log& null_log() {
    static decision_log none("", {}, {});
    return none;
}

} // namespace fulmar
