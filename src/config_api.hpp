// The accepted configuration and its rollout.
#pragma once

#include "change_log.hpp"
#include "fulmar/json.hpp"

#include <map>

namespace fulmar {

// Validates a whole document and writes it at the next generation. Returns invalid_argument that
// names the field; then nothing was changed.
result<applied_change> put_config(store_client& store, const change_request& request,
                                  const std::string& document);

// Reads the accepted configuration: generation, document, values in force, who and when.
result<json> get_config(store_client& store);

// Daemons that were seen in earlier reads of the membership, to tell which are gone.
struct seen_members {
    struct row {
        member_record record;
        std::int64_t seen_unix_ms = 0;
    };
    std::map<std::string, row> rows;
};

// Tells which daemon has which generation in force. Daemons whose lease lapsed are listed as gone
// and don't hold the rollout up.
result<json> describe_rollout(store_client& store, seen_members& seen, std::int64_t now_unix_ms);

} // namespace fulmar
