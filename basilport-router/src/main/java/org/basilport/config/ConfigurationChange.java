package org.basilport.config;

/**
 * An operator's change.
 *
 * @param applyId id of the change, unique and the same when the change is sent again
 * @param author who applies it
 * @param expectedNumber number of the configuration that it replaces, or -1 for any
 * @param deployment the new configuration
 */
public record ConfigurationChange(
    String applyId, String author, long expectedNumber, Deployment deployment) {}
