/** HTTP servers for the in-memory stand-ins. */
package org.basilport.standin.http;
