package org.basilport.config;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.basilport.config.ConfigurationDifference.Kind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationLoaderTest {
  private static final String BASE =
      """
      site: andino
      modelServices:
        - name: geo-llm
          model: geo-7b
          replicas: 8
          fencing: enforced
          objective: {stallTime: 3, tokenGapTail: 3, preemptions: 1}
          queueLimit: 100
          admissionRisk: 0.05
          maxTokens: 4096
      applicationServices:
        - {name: shelf-app, replicas: 3, timeoutMillis: 5000}
      workspaces:
        - name: minera
          keySha256: %s
          weight: 1
          maxConcurrent: 20
          requestsPerSecond: 5
      routes:
        - {name: describe, service: geo-llm, delivery: streamed}
        - {name: move, service: shelf-app, delivery: call}
      """
          .formatted("1".repeat(64));

  private static Deployment load(String overlay) {
    return ConfigurationLoader.load(
        new ConfigurationSource("base.yaml", BASE), new ConfigurationSource("site.yaml", overlay));
  }

  @Nested
  class Merging {
    @Test
    void mergesItemsByNameAndRemovesMarkedOnes() {
      Deployment merged =
          load(
              """
              modelServices: [{name: geo-llm, objective: {preemptions: 9}, replicas: 6}]
              routes:
                - {name: move, remove: true}
                - {name: later, service: geo-llm, delivery: DEFERRED}
              """);
      ModelService service = merged.modelService("geo-llm").orElseThrow();
      assertThat(service.replicas()).isEqualTo(6);
      assertThat(service.objective()).isEqualTo(new Objective(3, 3, 9));
      assertThat(merged.routes().stream().map(Route::name)).containsExactly("describe", "later");
    }

    @Test
    void canonicalFormReadsBackEqualAndDiffNamesFields() {
      Deployment base = load("");
      assertThat(DeploymentCodec.decode(DeploymentCodec.encode(base))).isEqualTo(base);
      assertThat(ConfigurationDiff.between(base, base)).isEmpty();
      assertThat(
              ConfigurationDiff.between(
                  base, load("workspaces: [{name: minera, weight: 2}]\nsite: sidi")))
          .containsExactly(
              new ConfigurationDifference(Kind.CHANGED, "site", "\"andino\"", "\"sidi\""),
              new ConfigurationDifference(Kind.CHANGED, "workspaces[minera].weight", "1.0", "2.0"));
    }
  }

  /** Guards against an upgrade that cannot read configurations from before placements. */
  @Test
  void readsConfigurationsWithoutPlacements() {
    Deployment deployment = load("site: andino");
    String text = DeploymentCodec.encodeText(deployment).replace(",\"placements\":[]", "");
    assertThat(text).doesNotContain("placements");
    assertThat(DeploymentCodec.decode(text.getBytes(StandardCharsets.UTF_8))).isEqualTo(deployment);
  }

  @Nested
  class Problems {
    // Guards against problems that go undetected or are reported at a wrong line or field.
    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        textBlock =
            """
            color: red \
            | site.yaml:1: color: is not a known field
            'routes: [{name: move, service: lost}]' \
            | site.yaml:1: routes[move].service: service lost does not exist
            'routes: [{name: move, service: geo-llm}]' \
            | base.yaml:21: routes[move].delivery: CALL needs an application service, geo-llm
            'routes: [{name: move, delivery: pushed}]' \
            | site.yaml:1: routes[move].delivery: must be one of STREAMED, DEFERRED, CALL
            'routes: [{name: lost, remove: true}]' \
            | site.yaml:1: routes[lost]: cannot be removed, the base does not have it
            'workspaces: [{name: minera, weight: 0}]' \
            | site.yaml:1: workspaces[minera].weight: must be from 0.001 to 1000 (weight), was 0
            'workspaces: [{name: minera, keySha256: abc}]' \
            | site.yaml:1: workspaces[minera].keySha256: must be 64 lower-case hexadecimal digits
            'workspaces: [{name: minera, maxConcurrent: many}]' \
            | site.yaml:1: workspaces[minera].maxConcurrent: must be a whole number, was many
            'routes: [{name: a, service: shelf-app, delivery: call}, {name: a}]' \
            | site.yaml:1: routes[a].name: the name is used twice in site.yaml
            'applicationServices: [{name: shelf-app, timeoutMillis: 0}]' \
            | site.yaml:1: applicationServices[shelf-app].timeoutMillis: must be from 1 to 600000 ms
            'applicationServices: [{name: new}]' \
            | site.yaml:1: applicationServices[new].replicas: is missing
            'site: [' \
            | site.yaml:
            'placements: [{name: p, service: lost, \
            model: a, minimumReplicas: 1, \
            requestsPerReplica: 1}]' \
            | site.yaml:1: placements[p].service: model service lost does not exist
            'placements: [{name: p, service: geo-llm, \
            model: geo-7b, minimumReplicas: 9, \
            requestsPerReplica: 1}]' \
            | placements[p].minimumReplicas: must be at most the 8 replicas of the service
            'placements: [{name: p, service: geo-llm, \
            model: geo-7b, minimumReplicas: 1, \
            requestsPerReplica: 0}]' \
            | placements[p].requestsPerReplica: must be from 0.001 to 1000000 requests/s, was 0
            'placements: [{name: p, service: geo-llm, \
            model: a, minimumReplicas: 1, \
            requestsPerReplica: 1}]' \
            | modelServices[geo-llm].model: placements of the service must include its model geo-7b
            'placements: [{name: p, service: geo-llm, model: geo-7b}]' \
            | site.yaml:1: placements[p].minimumReplicas: is missing
            """)
    void namesFileLineAndField(String overlay, String expected) {
      InvalidConfigurationException rejected =
          assertThrows(InvalidConfigurationException.class, () -> load(overlay));
      assertThat(rejected).hasMessageThat().contains(expected);
    }

    @Test
    void reportsAllProblemsAtOnce() {
      InvalidConfigurationException rejected =
          assertThrows(
              InvalidConfigurationException.class,
              () ->
                  load(
                      """
                      workspaces:
                        - {name: minera, weight: -1}
                      modelServices:
                        - {name: geo-llm, maxTokens: 0, admissionRisk: 2}
                      """));
      assertThat(rejected.problems().stream().map(ConfigurationProblem::line).toList())
          .containsExactly(4, 4, 2);
    }
  }
}
