/** Fakes of external systems and of other components, for tests in virtual time. */
package org.basilport.fake;
