package org.basilport.backend;

/**
 * A backend server as seen by this instance.
 *
 * @param id name of the backend server
 * @param incarnation number that grows with each restart
 * @param service service that it belongs to
 * @param region region of the backend server
 * @param dataCentre data centre of the backend server
 * @param address IP address and port
 * @param leaving whether it must not receive new work
 */
public record BackendServer(
    String id,
    long incarnation,
    String service,
    String region,
    String dataCentre,
    String address,
    boolean leaving) {}
