/** Stand-ins for a site, and the demo that runs instances against them. */
package org.basilport.cli.demo;
