/** Generations whose result is collected later. */
package org.basilport.deferred;
