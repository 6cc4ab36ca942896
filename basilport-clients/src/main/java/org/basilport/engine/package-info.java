/** Interface to model engines. */
package org.basilport.engine;
