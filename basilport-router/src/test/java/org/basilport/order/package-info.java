/** Tests of orders to engines. */
package org.basilport.order;
