/** Tests of the HTTP client of plain services. */
package org.basilport.service.http;
