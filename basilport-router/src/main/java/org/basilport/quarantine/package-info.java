/** Detection, isolation and quarantine of requests that crash backend servers. */
package org.basilport.quarantine;
