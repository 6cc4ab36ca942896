package org.basilport.engine;

import java.util.List;

/**
 * Consecutive tokens of one generation.
 *
 * @param generationId id of the generation
 * @param offset index of the first token, counted from 0
 * @param tokens token texts, at least one
 */
public record TokenFrame(String generationId, long offset, List<String> tokens) {}
