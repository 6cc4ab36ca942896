/** Utilities that are used by all modules. */
package org.basilport.misc;
