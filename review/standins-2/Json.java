import com.fasterxml.jackson.databind.ObjectMapper;

/** JSON mapper shared by the stand-ins; the library is the one that the project ships. */
final class Json {
  static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}
}
