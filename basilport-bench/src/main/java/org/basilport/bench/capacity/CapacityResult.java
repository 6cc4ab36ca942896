package org.basilport.bench.capacity;

/**
 * Measurements of one fleet. Rates are per second of virtual time in the quiet phase.
 *
 * @param point size of the fleet
 * @param gossipSentBytes gossip that an instance sends, in bytes per second
 * @param gossipReceivedBytes gossip that an instance receives, in bytes per second
 * @param gossipMessages gossip messages that an instance sends or receives, per second
 * @param changeBytes configuration bytes sent and received per instance for one change
 * @param cpuPercent processor time of an instance relative to virtual time, in percent of a core
 * @param heapBytes heap use of an instance, in bytes
 * @param reads object reads and listings by the fleet, per second
 * @param writes object writes by the fleet, per second
 * @param watches watches started by the fleet, per second
 * @param lists reads of the instance directory by the fleet, per second
 * @param polls load reports requested by an instance, per second
 * @param pollBytes size of these reports as JSON, in bytes per second and instance
 * @param pollsPerServer load reports requested from a backend server, per second
 * @param membersKnownSeconds time until every instance knows all members, -1 on time-out
 * @param fewestMembers smallest number of members known to any instance
 * @param serversKnownSeconds further time until every instance knows all backend servers, -1 on
 *     time-out
 * @param fewestServers smallest number of backend servers known to any instance
 * @param inForceSeconds time until the second configuration is in force everywhere, -1 on time-out
 * @param suspectedPairs pairs of live instances of which one suspects the other at the end
 * @param deadPairs pairs of live instances of which one considers the other dead at the end
 * @param headBytes size of the object config/head, in bytes
 * @param partBytes total size of the parts of both applied configurations, in bytes
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
