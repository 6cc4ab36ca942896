/** Tests of engine orders and leader leases. */
package org.basilport.order;
