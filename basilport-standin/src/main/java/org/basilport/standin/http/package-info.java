/** HTTP servers in front of the in-memory stand-ins. */
package org.basilport.standin.http;
