/** Tests of the HTTP client of application services. */
package org.basilport.service.http;
