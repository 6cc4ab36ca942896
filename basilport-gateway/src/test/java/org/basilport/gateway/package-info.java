/** Tests of the whole forwarding path against scripted backend servers. */
package org.basilport.gateway;
