/** Tests of the utilities. */
package org.basilport.misc;
