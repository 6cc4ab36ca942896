/** A client of entry instances that locates, reconnects and tells whether a request ran. */
package org.basilport.cli.client;
