#include "member_registration.hpp"

#include <random>

namespace fulmar {

namespace {

std::string member_key(const member_registration& member) {
    return std::string(members_prefix) + member.instance.value;
}

// Writes the record under the current lease. After a failure reads the stored revision, so that the
// next write can succeed. Returns whether the record was written.
bool write_record(member_registration& member, store_client& store, metrics& counters) {
    const std::string text = serialize(member.record);
    const auto written =
        write_and_confirm(store, {member_key(member), text, member.revision, member.lease});
    if (written) {
        member.revision = written.value();
        member.written = text;
        return true;
    }
    counters.count("fulmar_member_write_failures_total", to_string(written.error().kind));
    if (const auto present = store.get(member_key(member))) {
        member.revision = present.value() ? present.value()->revision : revision_number{};
    }
    return false;
}

} // namespace

host_id make_instance(const std::string& host) {
    std::random_device entropy;
    // 64 bits, so that the records of an earlier process can't be mistaken for those of a later
    // one.
    return {host + "." + std::to_string(entropy()) + std::to_string(entropy())};
}

registration_outcome keep_registered(member_registration& member, store_client& store,
                                     metrics& counters) {
    if (!member.lease) {
        const auto granted = store.grant_lease(member.ttl);
        if (!granted) {
            return registration_outcome::unreachable;
        }
        member.lease = granted.value();
        member.written.clear();
    }
    if (member.written != serialize(member.record) && !write_record(member, store, counters)) {
        // The record may be missing although the lease is valid, so the registration is not
        // confirmed.
        const auto kept = store.keep_alive(*member.lease);
        if (!kept && kept.error().kind == error_kind::expired) {
            member.lease.reset();
            return registration_outcome::lapsed;
        }
        return registration_outcome::unreachable;
    }
    const auto kept = store.keep_alive(*member.lease);
    if (kept) {
        return registration_outcome::alive;
    }
    if (kept.error().kind == error_kind::expired) {
        member.lease.reset();
        member.revision = {};
        return registration_outcome::lapsed;
    }
    return registration_outcome::unreachable;
}

void unregister(member_registration& member, store_client& store) {
    if (member.revision.value != 0) {
        static_cast<void>(store.remove(member_key(member), member.revision));
    }
}

} // namespace fulmar
