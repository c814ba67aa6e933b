// Base types of all subsystems: strongly typed ids, units, time and the result type.
#pragma once

#include <boost/outcome.hpp>

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>

namespace fulmar {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

// A strongly typed value. It does not convert to another type with the same representation.
template <class Tag, class Rep>
struct strong_type {
    using rep = Rep;

    Rep value{};

    auto operator<=>(const strong_type&) const = default;
};

template <class Tag, class Rep>
std::ostream& operator<<(std::ostream& out, const strong_type<Tag, Rep>& id) {
    return out << id.value;
}

using worker_id = strong_type<struct worker_tag, std::string>;
using cell_id = strong_type<struct cell_tag, std::string>;
using data_centre_id = strong_type<struct data_centre_tag, std::string>;
using region_id = strong_type<struct region_tag, std::string>;
using rack_id = strong_type<struct rack_tag, std::string>;
using host_id = strong_type<struct host_tag, std::string>;
using endpoint_id = strong_type<struct endpoint_tag, std::string>;
using service_id = strong_type<struct service_tag, std::string>;
using team_id = strong_type<struct team_tag, std::string>;
using job_id = strong_type<struct job_tag, std::string>;

// Number of a claim of a cell. A worker rejects commands whose epoch is below the highest that it
// has received.
using epoch_number = strong_type<struct epoch_tag, std::uint64_t>;
// Number of a start of one task; each start has a higher number than the previous one. The upper 40
// bits are the cell's epoch, the lower 24 bits a counter, so that a new owner's attempts are higher
// than those of its predecessors, even those that it has no record of.
using attempt_number = strong_type<struct attempt_tag, std::uint64_t>;
inline constexpr unsigned attempt_counter_bits = 24;

// Returns the first attempt that an owner with this epoch may use.
constexpr attempt_number first_attempt(epoch_number epoch) {
    return {epoch.value << attempt_counter_bits};
}

// Revision of one key in the store; 0 means that the key does not exist.
using revision_number = strong_type<struct revision_tag, std::uint64_t>;
// Number of an accepted configuration document; hosts apply only higher generations.
using generation_number = strong_type<struct generation_tag, std::uint64_t>;

// One task of a job, by its index in the job's task array.
struct task_id {
    job_id job;
    std::uint32_t index = 0;

    auto operator<=>(const task_id&) const = default;
};

// Units: processors in thousandths of a core, memory in MiB, accelerators in whole devices.
using millicores = strong_type<struct millicores_tag, std::int64_t>;
using mebibytes = strong_type<struct mebibytes_tag, std::int64_t>;
using accelerator_count = strong_type<struct accelerator_tag, std::int64_t>;

// An amount of each resource that a worker offers or a task requests.
struct resources {
    millicores processors;
    mebibytes memory;
    accelerator_count accelerators;

    auto operator<=>(const resources&) const = default;
};

// Adds two amounts resource by resource.
constexpr resources operator+(const resources& a, const resources& b) {
    return {{a.processors.value + b.processors.value},
            {a.memory.value + b.memory.value},
            {a.accelerators.value + b.accelerators.value}};
}

// Subtracts two amounts resource by resource; the result may be negative.
constexpr resources operator-(const resources& a, const resources& b) {
    return {{a.processors.value - b.processors.value},
            {a.memory.value - b.memory.value},
            {a.accelerators.value - b.accelerators.value}};
}

// Returns whether every resource of `need` is available in `free`.
constexpr bool fits(const resources& need, const resources& free) {
    return need.processors.value <= free.processors.value &&
           need.memory.value <= free.memory.value &&
           need.accelerators.value <= free.accelerators.value;
}

using duration = std::chrono::milliseconds;

// CLOCK_BOOTTIME. Unlike std::chrono::steady_clock, it also counts the time for which the machine
// is suspended: what was confirmed before a suspension must be out of date after it.
struct boot_clock {
    using rep = std::chrono::nanoseconds::rep;
    using period = std::chrono::nanoseconds::period;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

// Monotonic time since an unspecified origin on this host; never compared between hosts. A type of
// its own, as timers and HTTP time-outs run on the steady clock.
using time_point = std::chrono::time_point<boot_clock, duration>;

// Why an operation failed. Each kind has its own metric label and HTTP status.
enum class error_kind : std::uint8_t {
    invalid_argument,
    not_found,
    conflict,
    unauthenticated,
    forbidden,
    unavailable,
    timeout,
    outcome_unknown,
    capacity_exceeded,
    stale_epoch,
    lease_held,
    expired,
    protocol_error,
};

// Returns the stable machine-readable name of an error kind.
std::string_view to_string(error_kind kind);

// An error: a machine-readable kind and a message for people.
struct error {
    error_kind kind = error_kind::invalid_argument;
    std::string detail;

    bool operator==(const error&) const = default;
};

template <class T>
using result = outcome::basic_result<T, error, outcome::policy::terminate>;

} // namespace fulmar

template <class Tag, class Rep>
struct std::hash<fulmar::strong_type<Tag, Rep>> {
    std::size_t operator()(const fulmar::strong_type<Tag, Rep>& id) const noexcept {
        return std::hash<Rep>{}(id.value);
    }
};

template <>
struct std::hash<fulmar::task_id> {
    std::size_t operator()(const fulmar::task_id& id) const noexcept {
        constexpr std::size_t golden_ratio = 0x9e3779b97f4a7c15ULL;
        return std::hash<fulmar::job_id>{}(id.job) ^ (id.index * golden_ratio);
    }
};
