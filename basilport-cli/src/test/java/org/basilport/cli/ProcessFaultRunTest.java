package org.basilport.cli;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import org.basilport.bench.load.ProcessFaultReport;
import org.basilport.bench.load.ProcessFaultRun;
import org.basilport.bench.load.ProcessFaultSettings;
import org.junit.jupiter.api.Test;

/**
 * Guards against processes that lose, repeat or mix up tokens, run a call twice or report a wrong
 * outcome, and against a run that leaves child processes behind. Durations are not asserted, since
 * the build machine may be busy.
 */
class ProcessFaultRunTest {
  private static final ProcessFaultSettings SMALL =
      new ProcessFaultSettings(3, Duration.ofSeconds(3), 1, 2, 1);

  @Test
  void timeIndependentGuaranteesHold() throws Exception {
    ProcessFaultReport report = new ProcessFaultRun(SMALL, line -> {}).run();

    List<String> violations =
        report.violations().stream()
            .filter(violation -> violation.matches("G[1234] .*"))
            .collect(Collectors.toList());
    assertThat(violations).isEmpty();
    assertThat(report.countOf("streams: started")).isGreaterThan(0L);
    assertThat(report.countOf("calls: executed keys")).isGreaterThan(0L);
    boolean childrenLeft = ProcessHandle.current().children().anyMatch(ProcessHandle::isAlive);
    assertThat(childrenLeft).isFalse();
  }
}
