/** Tests of the exchange between instances. */
package org.basilport.gateway.peer;
