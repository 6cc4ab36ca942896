/** Tests of the HTTP client of engines. */
package org.basilport.engine.http;
