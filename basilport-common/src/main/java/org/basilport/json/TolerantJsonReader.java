package org.basilport.json;

import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Set;

/**
 * Reads JSON texts in which other writers' values may exceed the limits of the parser: they are
 * nested too deeply, or hold a number or a name that is too long. Such a value is read as {@code
 * null} and everything around it as usual. Safe for use by several threads.
 *
 * <p>The parser stops at the first such value, so a text that holds one is split into its members
 * or elements, which are read one by one.
 */
public final class TolerantJsonReader {
  private final ObjectReader reader;
  private final int levels;
  private final Set<String> indivisible;

  /**
   * Creates a reader.
   *
   * @param levels number of outer levels at which single values may be unreadable; a value below
   *     them costs the value of the last level that contains it
   * @param indivisible names of members that are unreadable as a whole if a part of them is
   */
  public TolerantJsonReader(ObjectMapper mapper, int levels, Set<String> indivisible) {
    this.reader =
        mapper.readerFor(JsonNode.class).with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    this.levels = levels;
    this.indivisible = Set.copyOf(indivisible);
  }

  /**
   * Reads a text.
   *
   * @throws IOException if the text is no JSON
   */
  public JsonNode read(byte[] text) throws IOException {
    return read(text, 0, text.length, levels);
  }

  private JsonNode read(byte[] text, int from, int to, int levelsToSplit) throws IOException {
    try {
      return reader.readTree(text, from, to - from);
    } catch (StreamConstraintsException e) {
      JsonValueSplitter splitter = new JsonValueSplitter(text, from, to);
      if (levelsToSplit == 0 || !splitter.divisible()) {
        return NullNode.getInstance();
      }
      return splitter.inObject()
          ? readMembers(text, splitter, levelsToSplit - 1)
          : readElements(text, splitter, levelsToSplit - 1);
    }
  }

  private ObjectNode readMembers(byte[] text, JsonValueSplitter splitter, int levelsToSplit)
      throws IOException {
    ObjectNode object = JsonNodeFactory.instance.objectNode();
    while (splitter.next()) {
      String name = readName(text, splitter);
      int childLevels = indivisible.contains(name) ? 0 : levelsToSplit;
      object.set(name, read(text, splitter.valueStart(), splitter.valueEnd(), childLevels));
    }
    return object;
  }

  /** Reads the name of a member; one that is too long is no name that any reader asks for. */
  private String readName(byte[] text, JsonValueSplitter splitter) throws IOException {
    int start = splitter.nameStart();
    try {
      return reader.forType(String.class).readValue(text, start, splitter.nameEnd() - start);
    } catch (StreamConstraintsException e) {
      return "";
    }
  }

  private ArrayNode readElements(byte[] text, JsonValueSplitter splitter, int levelsToSplit)
      throws IOException {
    ArrayNode array = JsonNodeFactory.instance.arrayNode();
    while (splitter.next()) {
      array.add(read(text, splitter.valueStart(), splitter.valueEnd(), levelsToSplit));
    }
    return array;
  }
}
