package org.basilport.config;

/**
 * The text of a configuration file.
 *
 * @param file name of the file, for error messages
 * @param yaml content of the file
 */
public record ConfigurationSource(String file, String yaml) {}
