/** Tests of the invariants of backend servers. */
package org.basilport.backend;
