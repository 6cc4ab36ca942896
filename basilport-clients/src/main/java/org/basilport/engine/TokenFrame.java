package org.basilport.engine;

import java.util.List;

/**
 * Consecutive tokens of one generation.
 *
 * @param generationId generation that the tokens belong to
 * @param offset number of the first token, counted from 0
 * @param tokens texts of the tokens, at least one
 */
public record TokenFrame(String generationId, long offset, List<String> tokens) {}
