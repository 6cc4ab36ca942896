/** Tests of the HTTP interface. */
package org.basilport.daemon.http;
