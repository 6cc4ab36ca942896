/** Orders to model engines, given by the instance that holds the duty of a service. */
package org.basilport.order;
