package org.basilport.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;

/**
 * Deserializes configurations whose placements may be absent, as in configurations accepted before
 * placements were introduced. The mapper's settings make all other fields mandatory.
 */
final class DeploymentDeserializer extends JsonDeserializer<Deployment> {
  private static final String PLACEMENTS = "placements";

  @Override
  public Deployment deserialize(JsonParser parser, DeserializationContext context)
      throws IOException {
    JsonNode tree = context.readTree(parser);
    if (tree instanceof ObjectNode && !tree.has(PLACEMENTS)) {
      ((ObjectNode) tree).putArray(PLACEMENTS);
    }
    Fields fields = context.readTreeAsValue(tree, Fields.class);
    return new Deployment(
        fields.site(),
        fields.modelServices(),
        fields.applicationServices(),
        fields.workspaces(),
        fields.routes(),
        fields.placements());
  }

  private record Fields(
      String site,
      List<ModelService> modelServices,
      List<ApplicationService> applicationServices,
      List<Workspace> workspaces,
      List<Route> routes,
      List<ModelPlacement> placements) {}
}
