/** Client of entry instances that locates them, reconnects and reports whether a request ran. */
package org.basilport.cli.client;
