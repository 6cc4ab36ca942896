/** HTTP client of model engines, with server-sent events. */
package org.basilport.engine.http;
