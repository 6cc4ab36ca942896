/** Views of backend servers, and which of them may receive new work. */
package org.basilport.backend;
