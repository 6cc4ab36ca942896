package org.basilport.cli.client;

/**
 * Summary of a finished generation.
 *
 * @param totalTokens number of tokens of the generation
 * @param reason reason for the end
 * @param reconnects number of reconnects during the stream
 */
public record GenerationSummary(long totalTokens, String reason, int reconnects) {}
