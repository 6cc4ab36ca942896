package org.basilport.delivery;

import org.basilport.policy.GenerationClass;

/**
 * A generation to be run by a session.
 *
 * @param requestId id of the request, unique across instances
 * @param workspace workspace to which the generation is charged
 * @param service model service that runs it
 * @param model model to run
 * @param request the caller's request
 * @param generationClass priority class
 * @param fingerprint hash of the request, used to recognise requests that crash servers
 */
public record GenerationTask(
    String requestId,
    String workspace,
    String service,
    String model,
    GenerationRequest request,
    GenerationClass generationClass,
    String fingerprint) {}
