/** Tests of admission and drain. */
package org.basilport.router;
