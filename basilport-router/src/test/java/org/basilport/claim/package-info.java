/** Tests of claims and calls of plain services. */
package org.basilport.claim;
