// Status of resources apart from their specification: what is durable is read from the store, what
// is running is asked of its owner.
#pragma once

#include "access.hpp"
#include "cell_choice.hpp"
#include "resources_api.hpp"

namespace fulmar {

// Describes a job: specification, progress, cancellation, and what its tasks do or wait for now.
// When the owner can't be asked, "running" says why.
result<json> describe_job(store_client& store, const principal& who,
                          const resource_collection& collection, const std::string& name,
                          const status_source& ask);

// Describes a data centre: the state asked for, and the state in force at each of its schedulers.
result<json> describe_data_centre(store_client& store, const principal& who,
                                  const std::string& name, const status_source& ask);

// Describes any resource.
result<json> describe_resource(store_client& store, const principal& who,
                               const resource_collection& collection, const std::string& name,
                               const status_source& ask);

} // namespace fulmar
