/** Tests of requests that crash backend servers. */
package org.basilport.quarantine;
