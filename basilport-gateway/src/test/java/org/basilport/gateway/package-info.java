/** Tests of the complete gateway with scripted backend servers. */
package org.basilport.gateway;
