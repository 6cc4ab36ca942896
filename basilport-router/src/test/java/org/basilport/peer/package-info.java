/** Tests of the exchange of gossip. */
package org.basilport.peer;
