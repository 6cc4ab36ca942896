/** Tests of the HTTP transport, and a server whose answers are given byte by byte. */
package org.basilport.http;
