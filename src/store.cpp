#include "fulmar/store.hpp"

namespace fulmar {

bool is_unconfirmed(const error& failure) {
    return failure.kind == error_kind::timeout || failure.kind == error_kind::outcome_unknown ||
           failure.kind == error_kind::protocol_error;
}

result<revision_number> write_and_confirm(store_client& store, const store_write& write) {
    auto written = store.compare_and_swap(write);
    if (written || !is_unconfirmed(written.error())) {
        return written;
    }
    const auto found = store.get(write.key);
    if (!found) {
        return error{error_kind::outcome_unknown,
                     write.key +
                         ": reply lost, and reading the key back failed: " + found.error().detail};
    }
    if (found.value() && found.value()->revision > write.expected &&
        found.value()->value == write.value) {
        return found.value()->revision;
    }
    const auto present = found.value() ? found.value()->revision : revision_number{};
    if (present != write.expected) {
        return error{error_kind::conflict, write.key + ": changed by another writer"};
    }
    // The request may still be in transit, so the write may yet be applied.
    return error{error_kind::outcome_unknown,
                 write.key + ": reply lost, and the write is not visible yet"};
}

} // namespace fulmar
