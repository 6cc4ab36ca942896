/** Discovery and state of backend servers, and selection of those that may receive new work. */
package org.basilport.backend;
