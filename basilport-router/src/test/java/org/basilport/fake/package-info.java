/** Fakes of external systems and of other components, for tests over virtual time. */
package org.basilport.fake;
