/** Exceptions that carry the step and the peer of a failure and its outcome for the request. */
package org.basilport.error;
