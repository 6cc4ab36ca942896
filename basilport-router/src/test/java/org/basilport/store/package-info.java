/** Tests of the platform call limiter, and an in-memory object store for tests. */
package org.basilport.store;
