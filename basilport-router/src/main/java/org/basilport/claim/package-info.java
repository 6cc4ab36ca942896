/** Claims of request keys, so that a request that may not be repeated runs at most once. */
package org.basilport.claim;
