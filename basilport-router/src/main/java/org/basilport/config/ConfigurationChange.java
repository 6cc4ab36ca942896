package org.basilport.config;

/**
 * Change of the configuration by an operator.
 *
 * @param applyId unique id of the change; a retry uses the same id
 * @param author operator who applies the change
 * @param expectedNumber number of the configuration that it replaces, -1 for any
 * @param deployment the new configuration
 */
public record ConfigurationChange(
    String applyId, String author, long expectedNumber, Deployment deployment) {}
