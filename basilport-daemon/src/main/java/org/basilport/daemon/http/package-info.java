/** HTTP API for callers and operators. */
package org.basilport.daemon.http;
