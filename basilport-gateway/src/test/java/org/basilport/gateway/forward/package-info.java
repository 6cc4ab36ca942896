/** Tests of placement and stream processing. */
package org.basilport.gateway.forward;
