/** The daemon: settings, logging, and the wiring of the router library to its servers. */
package org.basilport.daemon;
