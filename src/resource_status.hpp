// Status of resources: stored progress is read from the store, and the state of running tasks is
// queried from the scheduler that owns the cell.
#pragma once

#include "access.hpp"
#include "cell_choice.hpp"
#include "resources_api.hpp"

namespace fulmar {

// Describes a job: specification, progress, cancellation, and the present state of its tasks,
// including what they wait for. If the owner can't be queried, "running" has the reason.
result<json> describe_job(store_client& store, const principal& requester,
                          const resource_collection& collection, const std::string& name,
                          const status_fetcher& fetch_status);

// Describes a data centre: the requested state, and the state in force at each of its schedulers.
result<json> describe_data_centre(store_client& store, const principal& requester,
                                  const std::string& name, const status_fetcher& fetch_status);

// Describes any resource.
result<json> describe_resource(store_client& store, const principal& requester,
                               const resource_collection& collection, const std::string& name,
                               const status_fetcher& fetch_status);

} // namespace fulmar
