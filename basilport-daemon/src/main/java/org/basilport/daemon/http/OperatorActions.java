package org.basilport.daemon.http;

import java.util.List;
import org.basilport.config.Deployment;

/** Operator actions that the daemon performs rather than the router. */
public interface OperatorActions {
  /** Validates a configuration; returns its problems, empty when it is valid. */
  List<String> problems(Deployment deployment);

  /** Starts to drain the instance, after which the process ends; returns immediately. */
  void drain(String reason);
}
