// Enumerates the model of a takeover and prints the first violation with the events that lead to
// it. Options leave out one rule each, to see what it prevents.
#include "takeover_model.hpp"

#include <fmt/format.h>
#include <popt.h>

#include <cstdio>

int main(int argc, const char** argv) {
    int keep_replaced = 0;
    int no_limit = 0;
    int no_wait = 0;
    int no_fence = 0;
    const poptOption options[] = {
        poptOption{"wait-for-replaced", 0, POPT_ARG_NONE, &keep_replaced, 0,
                   "wait for workers at whose addresses others answer", nullptr},
        poptOption{"no-owner-limit", 0, POPT_ARG_NONE, &no_limit, 0,
                   "let an owner without the store go on for good", nullptr},
        poptOption{"no-lease-wait", 0, POPT_ARG_NONE, &no_wait, 0,
                   "don't wait for leases after a majority was reached", nullptr},
        poptOption{"no-fence", 0, POPT_ARG_NONE, &no_fence, 0,
                   "let workers accept the former owner", nullptr},
        poptOption POPT_AUTOHELP POPT_TABLEEND};
    auto* context = poptGetContext(nullptr, argc, argv, options, 0);
    const int parsed = poptGetNextOpt(context);
    if (parsed < -1) {
        fmt::print(stderr, "{}: {}\n", poptBadOption(context, 0), poptStrerror(parsed));
        poptFreeContext(context);
        return 2;
    }
    poptFreeContext(context);
    const fulmar::takeover_rules rules{.pass_replaced_workers = keep_replaced == 0,
                                       .limit_unconfirmed_owner = no_limit == 0,
                                       .wait_for_leases = no_wait == 0,
                                       .fence_epochs = no_fence == 0};
    const auto report = fulmar::check_takeover(rules);
    fmt::print("states={} violation={}\n", report.states, report.violation.value_or("none"));
    for (const auto& line : report.trace) {
        fmt::print("  {}\n", line);
    }
    return report.violation ? 1 : 0;
}
