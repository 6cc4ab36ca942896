package org.basilport.cli;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.basilport.daemon.http.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class ConfigCheckCommandTest {
  private static final String SOUND =
      """
      {"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/","route_type":"idempotent",
      "timeout_ms":900,"target_latency_ms":300,"service":"s"}],
      "services":[{"name":"s","max_connections":9}],
      "tenants":[{"name":"t","api_keys":["secret-key"]}]}
      """;

  @TempDir Path folder;
  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();

  private int check(String... arguments) {
    CommandLine command = BasilportCommand.commandLine();
    command.setOut(new PrintWriter(out));
    command.setErr(new PrintWriter(err));
    String[] line = new String[arguments.length + 2];
    line[0] = "config";
    line[1] = "check";
    System.arraycopy(arguments, 0, line, 2, arguments.length);
    return command.execute(line);
  }

  private String file(String name, String text) throws IOException {
    return Files.writeString(folder.resolve(name), text).toString();
  }

  /** Guards against exit codes that hide errors from scripts. */
  @Test
  void exitCodesTellTheGravestFinding() throws IOException {
    String warned = SOUND.replace("\"secret-key\"", "");
    String wrong = warned.replace("\"service\":\"s\"", "\"service\":\"x\"");

    assertThat(check(file("sound", SOUND))).isEqualTo(0);
    assertThat(out.toString()).isEmpty();
    assertThat(check(file("warned", warned))).isEqualTo(1);
    assertThat(check(file("wrong", wrong))).isEqualTo(2);
    assertThat(check("--against", file("sound", SOUND), file("wrong", wrong))).isEqualTo(2);
    assertThat(check()).isEqualTo(3);
    assertThat(err.toString()).contains("Missing required parameter: 'FILE'");
  }

  /** Guards against unreadable files that pass, and against messages that quote their content. */
  @Test
  void unreadableFilesAreNamedWithoutTheirContent() throws IOException {
    String sound = file("sound", SOUND);
    String broken = file("broken", SOUND.replace("\"secret-key\"", "secret-key"));
    String twice = file("twice", SOUND.replace("\"name\":\"t\"", "\"name\":1,\"name\":\"t\""));
    String longer = file("longer", SOUND + "{}");

    for (String unreadable : new String[] {broken, twice, longer, file("empty", "")}) {
      assertThat(check(unreadable)).isEqualTo(3);
      assertThat(err.toString()).contains(unreadable);
      assertThat(check(sound, "--against", unreadable)).isEqualTo(3);
    }
    assertThat(check(folder.resolve("absent").toString())).isEqualTo(3);
    assertThat(err.toString()).contains("absent does not exist");
    assertThat(check(folder.toString())).isEqualTo(3);
    assertThat(err.toString()).contains("broken is no valid JSON");
    assertThat(err.toString()).contains("at line 4, column");
    assertThat(err.toString()).doesNotContain("secret");
    assertThat(out.toString()).isEmpty();
  }

  /** Guards against lines that lack severity, place or message, and against printed keys. */
  @Test
  void printsOneLineForEachFindingAndDifference() throws IOException {
    String after =
        SOUND
            .replace(":7", ":8")
            .replace("\"timeout_ms\":900", "\"timeout_ms\":200")
            .replace("secret-key", "secret-new")
            .replace("\"name\":\"t\"", "\"name\":\"t\",\"note\\nerror\":1");

    assertThat(check(file("after", after), "--against", file("sound", SOUND))).isEqualTo(1);
    assertThat(out.toString().lines())
        .containsExactly(
            "warning /routes/0/target_latency_ms: above timeout_ms",
            "~ /version: 7 -> 8",
            "~ /routes/0/timeout_ms (route \"r\"): 900 -> 200",
            "~ /tenants/0/api_keys (tenant \"t\"): [\"sha256:85dbe15d\"] -> [\"sha256:aa8a4774\"]",
            "+ /tenants/0/note?error (tenant \"t\"): (hidden)")
        .inOrder();
  }

  /** Guards against JSON output that scripts cannot parse. */
  @Test
  void printsOneJsonObject() throws IOException {
    String after = SOUND.replace("\"max_connections\":9", "\"max_connections\":0");

    assertThat(check("--json", "--against", file("sound", SOUND), file("after", after)))
        .isEqualTo(2);
    JsonNode report = Json.tree(out.toString());
    assertThat(report.at("/findings")).hasSize(2);
    assertThat(report.at("/findings/0/severity").asText()).isEqualTo("ERROR");
    assertThat(report.at("/findings/0/place").asText()).isEqualTo("/services/0/max_connections");
    assertThat(report.at("/findings/1/place").asText()).isEqualTo("/version");
    assertThat(report.at("/differences")).hasSize(1);
    assertThat(report.at("/differences/0/kind").asText()).isEqualTo("CHANGED");
    assertThat(report.at("/differences/0/before").asText()).isEqualTo("9");
  }
}
