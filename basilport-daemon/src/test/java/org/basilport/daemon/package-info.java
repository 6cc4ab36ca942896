/** Tests of the daemon. */
package org.basilport.daemon;
