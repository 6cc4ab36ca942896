package org.basilport.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.basilport.event.EventType;
import org.junit.jupiter.api.Test;

class EventCatalogueTest {
  /** Guards against an event missing in the catalogue, and against one that no longer exists. */
  @Test
  void catalogueListsExactlyTheEvents() throws IOException {
    List<String> listed =
        Files.readAllLines(Path.of("..", "docs", "events.md")).stream()
            .filter(line -> line.matches("\\| \\d.*"))
            .toList();
    List<String> known =
        Arrays.stream(EventType.values())
            .map(
                type ->
                    String.format(
                        "| %d | %s | `%s` |", type.number(), type.level(), type.template()))
            .toList();
    assertThat(listed).containsExactlyElementsIn(known).inOrder();
  }

  /** Guards against two events that share a number. */
  @Test
  void numbersAreUnique() {
    assertThat(Arrays.stream(EventType.values()).map(EventType::number).toList())
        .containsNoDuplicates();
  }
}
