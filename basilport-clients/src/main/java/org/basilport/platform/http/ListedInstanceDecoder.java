package org.basilport.platform.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.basilport.json.TolerantJsonReader;
import org.basilport.platform.InstanceKind;
import org.basilport.platform.ListedInstance;

/** Decodes the list of instances; an entry that another writer corrupted is left out. */
final class ListedInstanceDecoder {
  private static final Logger LOG = LogManager.getLogger(ListedInstanceDecoder.class);
  private static final int MAX_PORT = 65_535;
  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
          .configure(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES, true);

  /** The list and its entries. */
  private static final TolerantJsonReader READER = new TolerantJsonReader(MAPPER, 1, Set.of());

  private ListedInstanceDecoder() {}

  /**
   * Decodes a list.
   *
   * @throws UncheckedIOException if the body is no JSON array
   */
  static List<ListedInstance> decodeAll(byte[] body) {
    List<ListedInstance> instances = new ArrayList<>();
    for (JsonNode entry : readArray(body)) {
      decode(entry).ifPresent(instances::add);
    }
    return instances;
  }

  private static JsonNode readArray(byte[] body) {
    try {
      JsonNode list = READER.read(body);
      if (list.isArray()) {
        return list;
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    throw new UncheckedIOException(new IOException("list of instances is no array"));
  }

  private static Optional<ListedInstance> decode(JsonNode entry) {
    try {
      Optional<ListedInstance> decoded =
          Optional.ofNullable(MAPPER.treeToValue(entry, ListedInstance.class));
      if (decoded.filter(ListedInstanceDecoder::valid).isPresent()) {
        return decoded;
      }
      LOG.warn("entry of an instance is incomplete: {}", entry.path("id"));
    } catch (JsonProcessingException e) {
      LOG.warn("entry of an instance cannot be read: {}", e.getOriginalMessage());
    }
    return Optional.empty();
  }

  private static boolean valid(ListedInstance instance) {
    boolean named =
        instance.id() != null
            && !instance.id().isEmpty()
            && instance.kind() != null
            && instance.state() != null
            && instance.service() != null
            && instance.region() != null
            && instance.dataCentre() != null;
    return named
        && isAddress(instance.address())
        && (instance.kind() == InstanceKind.BACKEND || isAddress(instance.peerAddress()));
  }

  private static boolean isAddress(String text) {
    int colon = text == null ? -1 : text.lastIndexOf(':');
    if (colon <= 0) {
      return false;
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return port > 0 && port <= MAX_PORT;
    } catch (NumberFormatException e) {
      return false;
    }
  }
}
