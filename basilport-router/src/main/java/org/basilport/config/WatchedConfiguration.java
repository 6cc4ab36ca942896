package org.basilport.config;

/**
 * Configuration read from the platform.
 *
 * @param headVersion version of the head object, for the next watch
 * @param configuration the accepted configuration
 */
public record WatchedConfiguration(long headVersion, AcceptedConfiguration configuration) {}
