#pragma once

#include "platform/Platform.h"

/** The etcd v3 JSON-over-HTTP protocol. */
namespace citronspoke::platform::etcd {

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
