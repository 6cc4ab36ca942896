package org.basilport.standin.site;

import java.util.List;
import org.basilport.standin.engine.EngineSettings;

/**
 * Settings of the stand-ins of a site.
 *
 * @param region region of all instances
 * @param dataCentres data centres to which backend servers are assigned in turn, at least one
 * @param modelService name of the model service
 * @param engines number of engines
 * @param applicationService name of the application service
 * @param replicas number of replicas of the application service
 * @param firstPort port of the platform, followed by engines and replicas; 0 for any free ports
 * @param seed seed of all random sources
 * @param engineSettings settings of each engine
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
