/** Tests of the stand-ins of a site. */
package org.basilport.standin.site;
