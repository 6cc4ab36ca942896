/** Delivery of generations: sessions, resume tokens, retries and abandoned generations. */
package org.basilport.delivery;
