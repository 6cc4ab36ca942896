package org.basilport.daemon.http;

import java.util.List;
import org.basilport.config.Deployment;

/** What operators ask of the daemon rather than of the router. */
public interface OperatorActions {
  /** Lists what is wrong with a configuration, empty when it may be applied. */
  List<String> problems(Deployment deployment);

  /** Drains the instance and ends the process afterwards; returns at once. */
  void drain(String reason);
}
