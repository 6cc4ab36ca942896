/**
 * Scheduling policies for generations. They do no I/O; the clock and the random source are passed
 * in.
 */
package org.basilport.policy;
