/** Deferred generations, whose results are stored and collected later. */
package org.basilport.deferred;
