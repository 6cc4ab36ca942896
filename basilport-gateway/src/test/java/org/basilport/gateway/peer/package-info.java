/** Tests of the load exchange between instances. */
package org.basilport.gateway.peer;
