package org.basilport.deferred;

/**
 * A job that has no result yet.
 *
 * @param id id of the job
 * @param workspace workspace of the job
 * @param route route of the generation
 * @param prompt text of the prompt
 * @param maxTokens largest number of tokens to generate
 */
record JobRecord(String id, String workspace, String route, String prompt, int maxTokens) {}
