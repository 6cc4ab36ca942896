/**
 * Proof that the bytes of a connection are one answer of one server. Used by all HTTP clients of
 * the system.
 */
package org.basilport.answer;
