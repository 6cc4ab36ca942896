package org.basilport.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.basilport.config.ConfigurationLoader;
import org.basilport.config.ConfigurationSource;
import org.basilport.config.Deployment;
import picocli.CommandLine.Option;

/** Options for the configuration files of a site. */
final class SiteOptions {
  private static final String OVERLAY_DIRECTORY = "overlays";
  private static final String YAML_SUFFIX = ".yaml";

  @Option(
      names = "--site",
      required = true,
      description = "directory with base.yaml and overlays/<name>.yaml")
  private Path directory;

  @Option(names = "--overlay", description = "name of the overlay; required when there are several")
  private String overlay;

  /**
   * Loads and validates base and overlay; throws {@code InvalidConfigurationException} if they are
   * invalid.
   */
  Deployment load() {
    return ConfigurationLoader.load(read(directory.resolve("base.yaml")), read(overlayFile()));
  }

  private Path overlayFile() {
    if (overlay != null) {
      return directory.resolve(OVERLAY_DIRECTORY).resolve(overlay + YAML_SUFFIX);
    }
    try (Stream<Path> files = Files.list(directory.resolve(OVERLAY_DIRECTORY))) {
      List<Path> overlays = files.filter(file -> file.toString().endsWith(YAML_SUFFIX)).toList();
      if (overlays.size() != 1) {
        throw new IllegalArgumentException(
            "--overlay is required unless there is exactly one overlay; "
                + directory.resolve(OVERLAY_DIRECTORY)
                + " has "
                + overlays.size());
      }
      return overlays.get(0);
    } catch (IOException e) {
      throw unreadable(directory.resolve(OVERLAY_DIRECTORY), e);
    }
  }

  private static ConfigurationSource read(Path file) {
    try {
      return new ConfigurationSource(file.toString(), Files.readString(file));
    } catch (IOException e) {
      throw unreadable(file, e);
    }
  }

  private static IllegalArgumentException unreadable(Path file, IOException e) {
    return new IllegalArgumentException("cannot read " + file + ": " + e, e);
  }
}
