/** Tests of the HTTP API. */
package org.basilport.daemon.http;
