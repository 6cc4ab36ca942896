/** Shared HTTP plumbing of the clients. */
package org.basilport.http;
