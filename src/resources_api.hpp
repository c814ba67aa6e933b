// Declared resources: services, batch jobs, standing watches, data centre states and teams. The
// functions get the store and the time as arguments and are independent of HTTP.
#pragma once

#include "change_log.hpp"
#include "fulmar/json.hpp"

#include <functional>
#include <span>

namespace fulmar {

// One collection of the API. Services, batch jobs and standing watches are all stored under jobs/.
struct resource_collection {
    std::string_view name;   // in paths
    std::string_view prefix; // in the store
    std::optional<job_kind> kind;
};

std::span<const resource_collection> resource_collections();
const resource_collection* find_collection(std::string_view name);

// Chooses or checks the cell of a new job.
using cell_chooser = std::function<result<cell_id>(const job_record&)>;

// Creates a resource. Returns conflict if its name is or, for a job, was in use.
result<applied_change> create_resource(store_client& store, const change_request& request,
                                       const resource_collection& collection,
                                       const std::string& name, const json& document,
                                       const cell_chooser& choose);

// Changes the given fields of a resource, or creates it when it does not exist.
result<applied_change> put_resource(store_client& store, const change_request& request,
                                    const resource_collection& collection, const std::string& name,
                                    const json& document, const cell_chooser& choose);

// Deletes a resource that is no longer in use. Returns conflict for a job with tasks that have not
// ended, a team that has jobs, or a data centre whose state is not out.
result<applied_change> delete_resource(store_client& store, const change_request& request,
                                       const resource_collection& collection,
                                       const std::string& name);

// Marks a job as cancelled; its tasks end later.
result<applied_change> cancel_job(store_client& store, const change_request& request,
                                  const resource_collection& collection, const std::string& name);

// The page of a collection to list: names after `after`, at most `limit` of them.
struct page_request {
    std::string after;
    std::size_t limit = 100;
};

// Lists a collection ordered by name: {"items", "revision", "next"}. A watch from the first page's
// revision reports every change made while the pages were read.
result<json> list_resources(store_client& store, const principal& requester,
                            const resource_collection& collection, const page_request& page);

// Formats one stored record. Returns nothing if it is deleted, not valid, of another kind, or of a
// team that the requester may not see.
std::optional<json> format_resource(const principal& requester,
                                    const resource_collection& collection,
                                    const store_entry& entry);

} // namespace fulmar
