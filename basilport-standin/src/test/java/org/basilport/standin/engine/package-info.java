/** Tests of the simulated engine. */
package org.basilport.standin.engine;
