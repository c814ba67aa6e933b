// The accepted configuration and its rollout.
#pragma once

#include "change_log.hpp"
#include "fulmar/json.hpp"

#include <map>

namespace fulmar {

// Validates the whole document and writes it with the next generation. Returns invalid_argument,
// naming the field, if the document is not valid; then nothing is changed.
result<applied_change> put_config(store_client& store, const change_request& request,
                                  const std::string& document);

// Reads the accepted configuration: generation, document, values in force, and who accepted it
// when.
result<json> get_config(store_client& store);

// Daemons found in earlier reads of the membership; used to list those that are no longer
// registered.
struct seen_members {
    struct row {
        member_record record;
        std::int64_t last_seen_unix_ms = 0;
    };
    std::map<std::string, row> rows;
};

// Lists the generation in force at each daemon. Daemons whose lease expired are listed as gone and
// don't delay the completion of the rollout.
result<json> describe_rollout(store_client& store, seen_members& seen, std::int64_t now_unix_ms);

} // namespace fulmar
