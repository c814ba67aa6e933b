#include "endpoint_table.hpp"
#include "routing.hpp"

#include <catch2/catch.hpp>

namespace fulmar {

namespace {

const time_point start{duration(100'000)};
constexpr auto failure = health_signal::failure;
constexpr auto success = health_signal::success;

} // namespace

// Guards against an endpoint that stays in use although it fails, or is ejected for too little.
TEST_CASE("ejection needs consecutive failures or a failure rate", "[ejection]") {
    struct row {
        std::vector<health_signal> signals;
        bool ejected;
    };
    const std::vector<row> rows{
        {{failure, failure, failure, failure}, false},
        {{failure, failure, failure, failure, failure}, true},
        {{failure, failure, failure, failure, success, failure}, false},
        {{failure, health_signal::neutral, failure, failure, failure, failure}, true},
        {{failure, failure, success, failure, failure, success, failure, failure, success, failure},
         true},
        {{failure, success, failure, success, failure, success, failure, success, failure, success},
         false}};
    for (const auto& [signals, ejected] : rows) {
        endpoint_health health;
        for (const auto signal : signals) {
            record_health(health, signal, false, start);
        }
        CHECK(deserves_ejection(health) == ejected);
    }
}

// Guards against failures of long ago that count towards the rate.
TEST_CASE("the failure rate covers the last window", "[ejection]") {
    endpoint_health health;
    for (int i = 0; i < 9; ++i) {
        record_health(health, i % 4 == 0 ? success : failure, false, start);
    }
    record_health(health, failure, false, start + duration(10'000));
    CHECK_FALSE(deserves_ejection(health));
}

// Guards against a failing endpoint that gets a stream of requests instead of one probe, and
// against one that never returns.
TEST_CASE("one probe decides about an ejected endpoint", "[ejection]") {
    endpoint_health health;
    eject(health, start);
    CHECK(find_availability(health, start + duration(4'999)) == availability::closed);
    auto now = start + duration(5'000);
    for (const auto expected : {10'000, 20'000, 40'000, 60'000, 60'000}) {
        CHECK(find_availability(health, now) == availability::probe);
        health.probing = true;
        CHECK(find_availability(health, now) == availability::closed);
        record_health(health, success, false, now); // an older request's result
        CHECK(health.ejected);
        record_health(health, failure, true, now);
        CHECK(health.ejected_until == now + duration(expected));
        now = health.ejected_until;
    }
    record_health(health, success, true, now);
    CHECK(find_availability(health, now) == availability::open);
    eject(health, now + duration(1'000)); // soon again: as long as before
    CHECK(health.ejection == duration(60'000));
}

// Guards against ejections that take away most of a service, as when a shared dependency fails.
TEST_CASE("the ceiling limits ejections", "[ejection]") {
    struct row {
        int endpoints;
        std::int64_t percent;
        int ejected;
    };
    for (const auto& [endpoints, percent, ejected] :
         std::vector<row>{{50, 30, 15}, {3, 30, 0}, {4, 30, 1}, {1, 100, 1}, {10, 0, 0}}) {
        endpoint_table table;
        const service_id desk{"desk"};
        for (int i = 0; i < endpoints; ++i) {
            list_endpoint(table, desk, {std::to_string(i)}, {"", {"a"}, {"r"}, {}, 1, 8});
        }
        int count = 0;
        for (int i = 0; i < endpoints; ++i) {
            auto& health = table.services[desk].at({std::to_string(i)}).health;
            for (int n = 0; n < 5; ++n) {
                record_health(health, failure, false, start);
            }
            count +=
                eject_if_due(table.services[desk], {std::to_string(i)}, percent, start) ? 1 : 0;
        }
        CHECK(count == ejected);
    }
}

// Guards against a probe that risks a non-idempotent request, and against services with only such
// requests whose endpoints would never return.
TEST_CASE("a non-idempotent request probes only when the probe is overdue", "[ejection]") {
    endpoint_table table;
    const service_id desk{"desk"};
    list_endpoint(table, desk, {"a"}, {"", {"a"}, {"r"}, {}, 1, 8});
    auto& health = table.services[desk].at({"a"}).health;
    eject(health, start);
    routing_state state;
    routing_query query;
    const auto probes = [&](bool idempotent, int after) {
        query.idempotent = idempotent;
        const auto choice =
            choose_endpoint(table, state, {{"a"}, {"r"}}, desk, query, start + duration(after));
        return choice && choice->probe;
    };
    CHECK_FALSE(probes(true, 4'000));
    CHECK(probes(true, 5'000));
    CHECK_FALSE(probes(false, 5'000));
    CHECK(probes(false, 15'000));
}

} // namespace fulmar
