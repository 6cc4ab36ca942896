/** Tests of the site's stand-in process. */
package org.basilport.standin.site;
