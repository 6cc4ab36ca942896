/** Tests of the command, the examples and the documentation that describes them. */
package org.basilport.cli;
