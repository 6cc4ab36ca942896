package org.basilport.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Codec for the canonical JSON form of configurations; fields are in record order. */
public final class DeploymentCodec {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private DeploymentCodec() {}

  /** Encodes a configuration; equal configurations have equal encodings. */
  public static byte[] encode(Deployment deployment) {
    return encodeValue(deployment);
  }

  /** Decodes a configuration; fails with {@link InvalidConfigurationException}. */
  public static Deployment decode(byte[] json) {
    Deployment deployment = decodeValue(json, Deployment.class);
    if (deployment == null) {
      throw invalid("the configuration is null");
    }
    return deployment;
  }

  /** Encodes a configuration as a JSON string. */
  public static String encodeText(Deployment deployment) {
    return new String(encode(deployment), StandardCharsets.UTF_8);
  }

  static byte[] encodeValue(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the configuration record cannot be encoded as JSON", e);
    }
  }

  static <T> T decodeValue(byte[] json, Class<T> type) {
    try {
      return MAPPER.readValue(json, type);
    } catch (JsonProcessingException e) {
      throw invalid(e.getOriginalMessage());
    } catch (IOException e) {
      throw invalid(String.valueOf(e.getMessage()));
    }
  }

  static ObjectMapper mapper() {
    return MAPPER;
  }

  private static InvalidConfigurationException invalid(String message) {
    return new InvalidConfigurationException(List.of(ConfigurationProblem.at("", message)));
  }
}
