package org.basilport.gateway.forward;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import org.basilport.gateway.backend.ServerEntry;

/**
 * Result of a current read of the software versions of all services.
 *
 * @param servers registered servers
 * @param claimed versions that have served recently, by the instance that claims it and by service
 * @param incarnation latest incarnation of the store that was read; 0 if it tells none
 */
public record StoredVersions(
    Collection<ServerEntry> servers,
    Map<String, Map<String, Set<String>>> claimed,
    long incarnation) {}
