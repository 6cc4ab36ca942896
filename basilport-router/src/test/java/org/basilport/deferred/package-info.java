/** Tests of deferred jobs. */
package org.basilport.deferred;
