// Entry point of fulmar_gate.
#include "daemon_presence.hpp"
#include "fulmar/store_http.hpp"
#include "gate.hpp"

#include <cstdio>

int main(int argc, const char** argv) {
    using namespace fulmar;
    block_stop_signals();
    settings loaded;
    if (const auto code = start_daemon(argc, argv, "Forwards callers' requests to endpoints.",
                                       gate_setting_specs(), loaded)) {
        return *code;
    }
    const auto options = parse_gate_settings(loaded);
    if (!options) {
        std::fprintf(stderr, "%s\n", options.error().detail.c_str());
        return exit_usage;
    }
    http_client store_connection;
    const std::shared_ptr<store_client> store = make_http_store_client(
        store_connection, options.value().store_address, options.value().store_timeout);
    const auto counters = std::make_shared<metrics>();
    presence_options presence;
    presence.record.program = "fulmar_gate";
    presence.record.host = options.value().host.value;
    presence.record.address = to_string(options.value().operator_address);
    presence.record.data_centre = options.value().data_centre;
    presence.store_address = options.value().store_address;
    presence.store_timeout = options.value().store_timeout;
    for (const auto& [name, address] : section_settings(loaded, "peers")) {
        presence.peers.push_back(address);
    }
    const daemon_presence member(std::move(presence), store_connection, *counters);
    return run_gate(options.value(), {store, [&member] { return member.values(); }, counters});
}
