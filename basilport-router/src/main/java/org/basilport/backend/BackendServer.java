package org.basilport.backend;

/**
 * Backend server as seen by this instance.
 *
 * @param id name of the backend server
 * @param incarnation number that increases with each restart
 * @param service service that it belongs to
 * @param region region of the backend server
 * @param dataCentre data centre of the backend server
 * @param address IP address and port
 * @param leaving whether it is shutting down and must not receive new work
 */
public record BackendServer(
    String id,
    long incarnation,
    String service,
    String region,
    String dataCentre,
    String address,
    boolean leaving) {}
