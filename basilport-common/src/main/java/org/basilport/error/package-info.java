/** The exception family, with the step and the peer at which a failure arose. */
package org.basilport.error;
