/** A small in-memory object store for tests, and tests of the call budget. */
package org.basilport.store;
