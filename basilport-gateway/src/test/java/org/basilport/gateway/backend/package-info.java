/** Tests of the package. */
package org.basilport.gateway.backend;
