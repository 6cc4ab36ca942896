package org.basilport.gateway.forward;

import org.basilport.error.Step;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.policy.dispatch.AllowedRegions;

/** The regions in which one request may run. */
interface RequestRegions {
  /** Regions of a request that may run anywhere. */
  RequestRegions UNRESTRICTED =
      new RequestRegions() {
        @Override
        public AllowedRegions allowed() {
          return AllowedRegions.ALL;
        }

        @Override
        public boolean permit(BackendServer server) {
          return true;
        }

        @Override
        public String recordUnavailable() {
          throw new IllegalStateException("all regions are allowed");
        }
      };

  /** The regions. */
  AllowedRegions allowed();

  /** Whether the request may run at a server. */
  boolean permit(BackendServer server);

  /** Counts that no allowed region has a server; returns the reason for the caller. */
  String recordUnavailable();

  /** Rejects the request if its service has servers, but none in an allowed region. */
  default boolean rejectIfUnavailable(Exchange exchange) {
    if (!allowed().restricted()
        || !exchange.dispatcher.hasServers()
        || exchange.dispatcher.hasServers(this::permit)) {
      return false;
    }
    exchange.reject(Step.LOCATE, recordUnavailable());
    return true;
  }
}
