/** Calls of application services; claims on request keys make a request run at most once. */
package org.basilport.claim;
