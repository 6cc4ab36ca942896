package org.basilport.gateway.backend;

/**
 * Bytes of a backend server that are no valid answer to the request on their connection.
 *
 * @param requestId id of the request, or of the last one if the connection carried none
 * @param waiting whether the request waited for an answer
 * @param status status of the answer; 0 if its head was not complete
 * @param receivedBytes bytes received since the request was sent
 * @param requests requests that the connection has carried
 * @param reason what is wrong with the bytes
 */
record AnswerProblem(
    String requestId,
    boolean waiting,
    int status,
    long receivedBytes,
    int requests,
    String reason) {}
