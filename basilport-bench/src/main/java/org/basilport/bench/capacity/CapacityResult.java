package org.basilport.bench.capacity;

/**
 * What one fleet cost. Rates are per second of virtual time in the quiet phase, after the start.
 *
 * @param point size of the fleet
 * @param gossipSentBytes gossip that an instance sends, in bytes per second
 * @param gossipReceivedBytes gossip that an instance receives, in bytes per second
 * @param gossipMessages gossip messages that an instance sends or receives, per second
 * @param changeBytes bytes of configuration that one change moves, sent and received, per instance
 * @param cpuPercent thread processor time of an instance, in percent of a core
 * @param heapBytes heap of an instance, in bytes
 * @param reads reads of the platform by the fleet, per second
 * @param writes writes of the platform by the fleet, per second
 * @param watches watches started by the fleet, per second
 * @param lists reads of the instance list by the fleet, per second
 * @param polls load reports that one instance asks for, per second
 * @param pollBytes size of these reports as JSON, in bytes per second and instance
 * @param pollsPerServer reports that one backend server is asked for, per second
 * @param membersKnownSeconds time until every instance knows all members, -1 when some never do
 * @param fewestMembers members known to the instance that knows the fewest
 * @param serversKnownSeconds time until every instance knows all backend servers, -1 when never
 * @param fewestServers backend servers known to the instance that knows the fewest
 * @param inForceSeconds time until the second configuration is in force everywhere, -1 when never
 * @param suspectedPairs pairs of live instances of which one suspects the other at the end
 * @param deadPairs pairs of live instances of which one considers the other dead at the end
 * @param headBytes size of the object config/head
 * @param partBytes total size of the configuration's parts
 */
public record CapacityResult(
    CapacityPoint point,
    double gossipSentBytes,
    double gossipReceivedBytes,
    double gossipMessages,
    double changeBytes,
    double cpuPercent,
    double heapBytes,
    double reads,
    double writes,
    double watches,
    double lists,
    double polls,
    double pollBytes,
    double pollsPerServer,
    double membersKnownSeconds,
    int fewestMembers,
    double serversKnownSeconds,
    int fewestServers,
    double inForceSeconds,
    long suspectedPairs,
    long deadPairs,
    long headBytes,
    long partBytes) {}
