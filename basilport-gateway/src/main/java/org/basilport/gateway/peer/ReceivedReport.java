package org.basilport.gateway.peer;

import org.basilport.protocol.LoadReport;

/** Latest report of another instance and the time of its receipt. */
record ReceivedReport(LoadReport report, long receivedNanos) {
  /** Whether another report of the same instance is newer. */
  boolean isOlderThan(LoadReport other) {
    return other.getIncarnation() > report.getIncarnation()
        || (other.getIncarnation() == report.getIncarnation()
            && other.getSequence() > report.getSequence());
  }
}
