/** HTTP transport and JSON utilities shared by the clients. */
package org.basilport.http;
