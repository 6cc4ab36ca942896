/** Stand-ins of a complete site in one process. */
package org.basilport.standin.site;
