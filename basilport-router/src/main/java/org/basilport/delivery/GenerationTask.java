package org.basilport.delivery;

import org.basilport.policy.GenerationClass;

/**
 * A generation that a session runs.
 *
 * @param requestId id of the request, unique over all instances
 * @param workspace workspace that pays
 * @param service model service that runs it
 * @param model model that is asked
 * @param request what the caller asked for
 * @param generationClass how urgent it is
 * @param fingerprint hash by which a request that crashes backend servers is recognised
 */
public record GenerationTask(
    String requestId,
    String workspace,
    String service,
    String model,
    GenerationRequest request,
    GenerationClass generationClass,
    String fingerprint) {}
