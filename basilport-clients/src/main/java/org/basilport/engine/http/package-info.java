/** HTTP client of model engines, which stream tokens as server-sent events. */
package org.basilport.engine.http;
