#include "fulmar/types.hpp"

#include <array>
#include <ctime>

namespace fulmar {

boot_clock::time_point boot_clock::now() noexcept {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

namespace {

struct error_name {
    error_kind kind;
    std::string_view name;
};

constexpr std::array error_names{
    error_name{error_kind::invalid_argument, "invalid_argument"},
    error_name{error_kind::not_found, "not_found"},
    error_name{error_kind::conflict, "conflict"},
    error_name{error_kind::unauthenticated, "unauthenticated"},
    error_name{error_kind::forbidden, "forbidden"},
    error_name{error_kind::unavailable, "unavailable"},
    error_name{error_kind::timeout, "timeout"},
    error_name{error_kind::outcome_unknown, "outcome_unknown"},
    error_name{error_kind::capacity_exceeded, "capacity_exceeded"},
    error_name{error_kind::stale_epoch, "stale_epoch"},
    error_name{error_kind::lease_held, "lease_held"},
    error_name{error_kind::expired, "expired"},
    error_name{error_kind::protocol_error, "protocol_error"},
};

// Returns whether the index of each row is the value of its enumerator.
constexpr bool rows_in_order() {
    for (std::size_t i = 0; i < error_names.size(); ++i) {
        if (static_cast<std::size_t>(error_names.at(i).kind) != i) {
            return false;
        }
    }
    return true;
}

static_assert(rows_in_order());
static_assert(error_names.size() == static_cast<std::size_t>(error_kind::protocol_error) + 1);

} // namespace

std::string_view to_string(error_kind kind) {
    return error_names.at(static_cast<std::size_t>(kind)).name;
}

} // namespace fulmar
