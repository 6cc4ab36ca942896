/** Starts the stand-ins of a whole site. */
package org.basilport.standin.site;
