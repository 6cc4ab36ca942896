/** Tests of the delivery of generations. */
package org.basilport.delivery;
