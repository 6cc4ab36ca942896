/** The {@code basilport} command. */
package org.basilport.cli;
