#pragma once

#include "platform/Platform.h"

/** Client of the etcd v3 JSON-over-HTTP protocol. All but swap throw StoreUnavailable. */
namespace citronspoke::platform::etcd {

/** @param rangeEnd the first key behind the range; empty to read the single key. */
std::map<std::string, Entry> range(
    const EtcdBackend& backend, std::string_view key, std::string_view rangeEnd);
WriteOutcome swap(const EtcdBackend& backend, std::string_view key, Revision expected,
    std::string_view value, LeaseId lease);
LeaseId grantLease(const EtcdBackend& backend, std::chrono::seconds timeToLive);
bool keepAlive(const EtcdBackend& backend, LeaseId lease);
void revoke(const EtcdBackend& backend, LeaseId lease);
bool waitForChange(
    const EtcdBackend& backend, std::string_view key, Revision since, Milliseconds limit);

} // namespace citronspoke::platform::etcd
