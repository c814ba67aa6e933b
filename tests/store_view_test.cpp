#include "store_view.hpp"

#include "monitored_store.hpp"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include <set>

using namespace fulmar;

namespace {

class mock_store : public async_store {
  public:
    MAKE_MOCK2(get, void(const std::string&, store_callback<std::optional<store_entry>>), override);
    MAKE_MOCK4(list,
               void(const std::string&, const std::string&, read_mode, store_callback<store_page>),
               override);
    MAKE_MOCK4(watch,
               void(const std::string&, revision_number, duration, store_callback<store_events>),
               override);
    MAKE_MOCK2(commit, void(store_transaction, store_callback<transaction_reply>), override);
    MAKE_MOCK2(grant_lease, void(duration, store_callback<lease_id>), override);
    MAKE_MOCK2(keep_alive, void(lease_id, store_callback<void>), override);
};

class mock_loop : public event_loop {
  public:
    MAKE_CONST_MOCK0(now, time_point(), override);
    MAKE_CONST_MOCK0(unix_now, unix_time(), override);
    MAKE_MOCK2(call_after, void(duration, std::function<void()>), override);
};

} // namespace

// An owner that can't reach the store must detect that even while it receives newer orders from
// peers. If these count as answers from the store, the owner keeps a shard that it can't store
// anything for.
TEST_CASE("a view updated by peers still counts as disconnected from the store") {
    mock_store answering;
    mock_loop loop;
    decision_log log("", {}, {});
    time_point now{duration(10'000)};
    store_callback<store_events> watching;
    ALLOW_CALL(loop, now()).LR_RETURN(now);
    ALLOW_CALL(loop, call_after(trompeloeil::_, trompeloeil::_));
    REQUIRE_CALL(answering, list("op/", "", read_mode::linearizable, trompeloeil::_))
        .SIDE_EFFECT(_4(store_page{{}, false, {5}}));
    REQUIRE_CALL(answering, watch("op/", revision_number{5}, trompeloeil::_, trompeloeil::_))
        .LR_SIDE_EFFECT(watching = _4);

    monitored_store store(answering, loop);
    store_view view(
        store, loop, log, {.prefix = "op/"}, [](const auto&, const auto*) {}, [] {});
    view.start();
    REQUIRE(watching);
    CHECK(store.unreachable_for() == duration(0));
    CHECK(store.healthy_for(duration(0)));

    now += duration(2'000);
    watching(error{error_kind::timeout, "no answer"});
    CHECK(store.unreachable_for() == duration(2'000));
    view.merge({{"op/config", {"op/config", "{}", {8}}}}, {9}, now);
    CHECK(view.confirmed() == now);
    CHECK(store.unreachable_for() == duration(2'000));
    CHECK_FALSE(store.healthy_for(duration(0)));
}

// EVAC: an order that had been taken back came into force again, for good, when the answer to an
// earlier watch arrived after a peer's newer orders.
TEST_CASE("a watch that is answered late doesn't bring back a key that was deleted since") {
    mock_store answering;
    mock_loop loop;
    decision_log log("", {}, {});
    time_point now{duration(10'000)};
    store_callback<store_events> watching;
    ALLOW_CALL(loop, now()).LR_RETURN(now);
    ALLOW_CALL(loop, call_after(trompeloeil::_, trompeloeil::_));
    REQUIRE_CALL(answering, list("op/", "", read_mode::linearizable, trompeloeil::_))
        .SIDE_EFFECT(_4(store_page{{}, false, {5}}));
    ALLOW_CALL(answering, watch("op/", trompeloeil::_, trompeloeil::_, trompeloeil::_))
        .LR_SIDE_EFFECT(watching = _4);
    std::set<std::string> present;
    store_view view(
        answering, loop, log, {.prefix = "op/"},
        [&](const std::string& key, const auto* entry) {
            if (entry == nullptr) {
                present.erase(key);
            } else {
                present.insert(key);
            }
        },
        [] {});
    view.start();
    const auto late = watching;

    // The key was written at 8 and deleted at 9.
    view.merge({{"op/config", {"op/config", "{}", {7}}}}, {10}, now);
    late(store_events{{{{"op/evacuate/east", "{}", {8}}, false}}, {8}});
    CHECK(present == std::set<std::string>{"op/config"});
    CHECK_FALSE(view.entries().contains("op/evacuate/east"));
    CHECK(view.revision() == revision_number{10});
}
