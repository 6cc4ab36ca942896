package org.basilport.config;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import java.util.List;
import java.util.Optional;

/**
 * Complete configuration of a site, merged from base file and overlay.
 *
 * @param site name of the site
 * @param modelServices services of model engines
 * @param applicationServices application services
 * @param workspaces workspaces of customers
 * @param routes routes by which callers reach services
 * @param placements models that engines are ordered to load; without any, a service gets no orders
 */
@JsonDeserialize(using = DeploymentDeserializer.class)
public record Deployment(
    String site,
    List<ModelService> modelServices,
    List<ApplicationService> applicationServices,
    List<Workspace> workspaces,
    List<Route> routes,
    @JsonInclude(JsonInclude.Include.NON_EMPTY) List<ModelPlacement> placements) {

  /** Treats an absent list of placements as empty. */
  public Deployment {
    placements = placements == null ? List.of() : placements;
  }

  /** Creates a configuration without placements. */
  public Deployment(
      String site,
      List<ModelService> modelServices,
      List<ApplicationService> applicationServices,
      List<Workspace> workspaces,
      List<Route> routes) {
    this(site, modelServices, applicationServices, workspaces, routes, List.of());
  }

  /** Finds a workspace by name. */
  public Optional<Workspace> workspace(String name) {
    return workspaces.stream().filter(w -> w.name().equals(name)).findFirst();
  }

  /** Finds a route by name. */
  public Optional<Route> route(String name) {
    return routes.stream().filter(r -> r.name().equals(name)).findFirst();
  }

  /** Finds a model service by name. */
  public Optional<ModelService> modelService(String name) {
    return modelServices.stream().filter(s -> s.name().equals(name)).findFirst();
  }

  /** Finds an application service by name. */
  public Optional<ApplicationService> applicationService(String name) {
    return applicationServices.stream().filter(s -> s.name().equals(name)).findFirst();
  }

  /** Returns the placements of a service. */
  public List<ModelPlacement> placements(String service) {
    return placements.stream().filter(p -> p.service().equals(service)).toList();
  }
}
