/** Tests of the gossip exchange and its rate limit. */
package org.basilport.peer;
