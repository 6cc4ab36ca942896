/** Calls between entry instances. */
package org.basilport.peer;
