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
    int no_witnesses = 0;
    int break_promises = 0;
    int keep_acting = 0;
    int workers = 2;
    int spread_only = 0;
    int local_peers = 1;
    int remote_peers = 0;
    const poptOption options[] = {
        poptOption{"wait-for-replaced", 0, POPT_ARG_NONE, &keep_replaced, 0,
                   "wait for workers at whose addresses others answer", nullptr},
        poptOption{"no-owner-limit", 0, POPT_ARG_NONE, &no_limit, 0,
                   "let an owner without the store go on for good", nullptr},
        poptOption{"no-lease-wait", 0, POPT_ARG_NONE, &no_wait, 0,
                   "don't wait for leases after a majority was reached", nullptr},
        poptOption{"no-fence", 0, POPT_ARG_NONE, &no_fence, 0,
                   "let workers accept the former owner", nullptr},
        poptOption{"no-witnesses", 0, POPT_ARG_NONE, &no_witnesses, 0,
                   "let the workers alone confirm an owner", nullptr},
        poptOption{"break-promises", 0, POPT_ARG_NONE, &break_promises, 0,
                   "let witnesses forget what they promised", nullptr},
        poptOption{"keep-acting", 0, POPT_ARG_NONE, &keep_acting, 0,
                   "let a former owner act on although its host promised", nullptr},
        poptOption{"spread-only", 0, POPT_ARG_NONE, &spread_only, 0,
                   "let the witnesses of the owner's data centre not suffice", nullptr},
        poptOption{"workers", 0, POPT_ARG_INT, &workers, 0, "number of workers, 1 to 3", "COUNT"},
        poptOption{"local-peers", 0, POPT_ARG_INT, &local_peers, 0,
                   "further witnesses in the owner's data centre", "COUNT"},
        poptOption{"remote-peers", 0, POPT_ARG_INT, &remote_peers, 0,
                   "further witnesses elsewhere; two of both kinds at most", "COUNT"},
        poptOption POPT_AUTOHELP POPT_TABLEEND};
    auto* context = poptGetContext(nullptr, argc, argv, options, 0);
    const int parsed = poptGetNextOpt(context);
    if (parsed < -1) {
        fmt::print(stderr, "{}: {}\n", poptBadOption(context, 0), poptStrerror(parsed));
        poptFreeContext(context);
        return 2;
    }
    poptFreeContext(context);
    if (workers < 1 || workers > 3) {
        fmt::print(stderr, "--workers: expected 1 to 3, found {}\n", workers);
        return 2;
    }
    if (local_peers < 0 || remote_peers < 0 || local_peers + remote_peers > 2) {
        fmt::print(stderr, "--local-peers, --remote-peers: expected two at most, found {} and {}\n",
                   local_peers, remote_peers);
        return 2;
    }
    std::vector<bool> peers(static_cast<std::size_t>(local_peers), true);
    peers.insert(peers.end(), static_cast<std::size_t>(remote_peers), false);
    const fulmar::takeover_rules rules{.pass_replaced_workers = keep_replaced == 0,
                                       .limit_unconfirmed_owner = no_limit == 0,
                                       .wait_for_leases = no_wait == 0,
                                       .fence_epochs = no_fence == 0,
                                       .need_witnesses = no_witnesses == 0,
                                       .local_suffice = spread_only == 0,
                                       .ask_witnesses = no_witnesses == 0,
                                       .keep_promises = break_promises == 0,
                                       .give_up_when_asked = keep_acting == 0,
                                       .workers = static_cast<std::size_t>(workers),
                                       .local_peers = peers};
    const auto report = fulmar::check_takeover(rules);
    fmt::print("states={} violation={}\n", report.states, report.violation.value_or("none"));
    for (const auto& line : report.trace) {
        fmt::print("  {}\n", line);
    }
    return report.violation ? 1 : 0;
}
