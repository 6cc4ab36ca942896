/** Tests of several control planes in one process with a virtual clock. */
package org.basilport.router;
