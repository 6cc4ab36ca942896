package org.basilport.cli.client;

/**
 * The end of a generation.
 *
 * @param totalTokens number of tokens of the generation
 * @param reason why it ended
 * @param reconnects how often the stream was continued on a new connection
 */
public record GenerationSummary(long totalTokens, String reason, int reconnects) {}
