#include "capacity/Capacity.h"

#include <algorithm>

namespace citronspoke::capacity {

namespace {

    constexpr size_t RequestMemoryPercent = 40;
    constexpr size_t UnsentPercent = 20;
    constexpr size_t PrefixIndexPercent = 10;
    constexpr size_t Percent = 100;
    constexpr size_t MaxUnsentBytes = size_t { 24 } << 20;
    /** Part (1/n) of the requests' memory that only small requests may take. */
    constexpr size_t ReservedDivisor = 8;
    constexpr size_t SmallRequestBytes = size_t { 64 } << 10;

    // Sixteenths of the descriptors. A caller's connection may need a second one, to a target.
    constexpr size_t DescriptorParts = 16;
    constexpr size_t ConnectionParts = 6;
    constexpr size_t PageParts = 1;
    constexpr size_t IdleTargetParts = 1;

} // namespace

CallerCapacity callerCapacity(size_t memoryBytes, size_t descriptors)
{
    CallerCapacity capacity;
    capacity.requests.totalBytes = memoryBytes * RequestMemoryPercent / Percent;
    capacity.requests.reservedBytes = capacity.requests.totalBytes / ReservedDivisor;
    capacity.requests.smallRequestBytes = SmallRequestBytes;
    capacity.unsentBytes = std::min(memoryBytes * UnsentPercent / Percent, MaxUnsentBytes);
    capacity.prefixIndexBytes = memoryBytes * PrefixIndexPercent / Percent;
    capacity.connections = descriptors * ConnectionParts / DescriptorParts;
    capacity.pageConnections = descriptors * PageParts / DescriptorParts;
    capacity.idleTargetConnections = descriptors * IdleTargetParts / DescriptorParts;
    return capacity;
}

} // namespace citronspoke::capacity
