/** In-memory stand-ins (test doubles) for the external systems, with seeded fault injection. */
package org.basilport.standin;
