/** Tests of rendezvous hashing. */
package org.basilport.membership;
