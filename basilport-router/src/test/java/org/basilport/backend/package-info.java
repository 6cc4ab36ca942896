/** Tests that break the rules for backend servers. */
package org.basilport.backend;
