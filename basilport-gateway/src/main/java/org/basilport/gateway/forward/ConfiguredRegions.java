package org.basilport.gateway.forward;

import java.util.Optional;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.config.ForwardingConfiguration;
import org.basilport.gateway.config.ForwardingRoute;
import org.basilport.gateway.config.KeyHolder;
import org.basilport.gateway.message.CallerRequest;
import org.basilport.policy.dispatch.AllowedRegions;

/**
 * The regions in which one request may run, by its route and its workspace in the applied
 * configuration, which may change while the request waits. Confined to the event loop thread.
 */
final class ConfiguredRegions implements RequestRegions {
  private static final String UNAVAILABLE = "no backend server in an allowed region";

  private final HomeRegions homeRegions;
  private final CallerRequest request;
  private final ForwardingRoute route;
  private final Optional<KeyHolder> holder;
  private Optional<ForwardingConfiguration> applied = Optional.empty();
  private AllowedRegions allowed;

  /**
   * Creates the regions of a request.
   *
   * @param route route at the arrival of the request, which counts after its removal
   * @param holder workspace at the arrival of the request, which counts after its removal
   */
  ConfiguredRegions(
      HomeRegions homeRegions,
      CallerRequest request,
      ForwardingRoute route,
      Optional<KeyHolder> holder) {
    this.homeRegions = homeRegions;
    this.request = request;
    this.route = route;
    this.holder = holder;
    this.allowed = allowedBy(route, holder);
  }

  private static AllowedRegions allowedBy(ForwardingRoute route, Optional<KeyHolder> holder) {
    return AllowedRegions.of(route.allowedRegions())
        .and(
            holder
                .map(keyHolder -> AllowedRegions.of(keyHolder.allowedRegions()))
                .orElse(AllowedRegions.ALL));
  }

  @Override
  public AllowedRegions allowed() {
    Optional<ForwardingConfiguration> current = homeRegions.configuration();
    if (!current.equals(applied)) {
      applied = current;
      allowed =
          allowedBy(
              current.flatMap(c -> c.route(request.host(), request.path())).orElse(route),
              current.flatMap(c -> request.accessKey().flatMap(c::keyHolder)).or(() -> holder));
    }
    return allowed;
  }

  @Override
  public boolean permit(BackendServer server) {
    return allowed().permits(homeRegions.regionOf(server));
  }

  @Override
  public String recordUnavailable() {
    homeRegions.recordRejection();
    return UNAVAILABLE;
  }
}
