package org.basilport.bench.load;

import static com.google.common.truth.Truth.assertThat;

import java.io.File;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against children that are killed during their drain, and against orphaned children. */
class ChildProcessTest {
  private static final long LIMIT_SECONDS = 60;

  @TempDir private File directory;

  @Test
  void terminationLetsTheChildFinishItsDrain() throws Exception {
    try (ChildProcess child = startReady()) {
      assertThat(child.terminate(LIMIT_SECONDS)).isEqualTo(0);
    }
  }

  @Test
  void theChildEndsWhenItsParentsPipeCloses() throws Exception {
    try (ChildProcess child = startReady()) {
      child.process().getOutputStream().close();

      assertThat(child.process().waitFor(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }
  }

  private ChildProcess startReady() throws Exception {
    ChildProcess child =
        ChildProcess.start(
            new File(directory, "log"),
            ChildMain.class.getName(),
            List.of(SlowShutdownProcess.class.getName()));
    // The first line is printed after the shutdown hook has been installed.
    assertThat(child.process().inputReader().readLine()).isEqualTo("ready");
    return child;
  }
}
