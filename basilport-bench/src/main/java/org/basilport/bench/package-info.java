/** Measurement tools. */
package org.basilport.bench;
