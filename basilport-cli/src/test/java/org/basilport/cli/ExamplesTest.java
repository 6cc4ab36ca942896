package org.basilport.cli;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.hash.Hashing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.basilport.config.ConfigurationLoader;
import org.basilport.config.ConfigurationSource;
import org.basilport.config.Deployment;
import org.basilport.config.Workspace;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ExamplesTest {
  private static final Path ROOT = Path.of("..");

  /** Guards against examples that do not load or whose keys the README does not document. */
  @ParameterizedTest
  @CsvSource({
    "nucleo-andino, co-centro, geo-llm, 8, shelf-app, 3",
    "bull-hire-ledger, tn-centre, ledger-scribe, 10, hire-ledger, 3"
  })
  void examplesMatchTheDesign(
      String directory, String site, String model, int engines, String service, int replicas)
      throws IOException {
    Path example = ROOT.resolve("examples").resolve(directory);
    Deployment deployment =
        ConfigurationLoader.load(
            source(example.resolve("base.yaml")),
            source(example.resolve("overlays").resolve(site + ".yaml")));
    assertThat(deployment.site()).isEqualTo(site);
    assertThat(deployment.modelService(model).orElseThrow().replicas()).isEqualTo(engines);
    assertThat(deployment.applicationService(service).orElseThrow().replicas()).isEqualTo(replicas);
    assertThat(deployment.workspaces()).hasSize(10);
    for (Workspace workspace : deployment.workspaces()) {
      String key = "example-key-" + workspace.name();
      String hash = Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
      assertThat(workspace.keySha256()).isEqualTo(hash);
    }
    assertThat(Files.readString(ROOT.resolve("README.md"))).contains("example-key-<workspace>");
  }

  private static ConfigurationSource source(Path file) throws IOException {
    return new ConfigurationSource(file.toString(), Files.readString(file));
  }
}
