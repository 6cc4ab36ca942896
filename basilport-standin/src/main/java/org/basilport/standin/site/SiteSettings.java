package org.basilport.standin.site;

import java.util.List;
import org.basilport.standin.engine.EngineSettings;

/**
 * What the stand-ins of a site consist of.
 *
 * @param region region of all instances
 * @param dataCentres data centres over which the backend servers are spread, at least one
 * @param modelService name of the model service
 * @param engines number of engines
 * @param applicationService name of the plain service
 * @param replicas number of replicas of the plain service
 * @param firstPort port of the platform, followed by engines and replicas; 0 for any free ports
 * @param seed seed of all random draws
 * @param engineSettings properties of each engine
 */
public record SiteSettings(
    String region,
    List<String> dataCentres,
    String modelService,
    int engines,
    String applicationService,
    int replicas,
    int firstPort,
    long seed,
    EngineSettings engineSettings) {}
