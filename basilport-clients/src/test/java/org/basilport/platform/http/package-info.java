/** Tests of the HTTP clients of the platform. */
package org.basilport.platform.http;
