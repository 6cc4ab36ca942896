package org.basilport.config;

/**
 * Text of a configuration file.
 *
 * @param file name of the file, used in error messages
 * @param yaml content of the file
 */
public record ConfigurationSource(String file, String yaml) {}
