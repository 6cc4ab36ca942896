/** The HTTP interface for callers and operators. */
package org.basilport.daemon.http;
