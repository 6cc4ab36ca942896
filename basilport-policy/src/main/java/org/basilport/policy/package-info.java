/** Decisions without I/O; the clock and the random source are passed in. */
package org.basilport.policy;
