/** Tests of the command, the examples and the pages that describe them. */
package org.basilport.cli;
