/** In-memory stand-ins (test doubles) of the external systems, with seeded fault injection. */
package org.basilport.standin;
