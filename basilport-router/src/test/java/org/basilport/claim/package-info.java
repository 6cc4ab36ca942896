/** Tests of claims and calls of application services. */
package org.basilport.claim;
