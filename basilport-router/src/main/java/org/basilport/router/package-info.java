/** The router that a daemon serves. */
package org.basilport.router;
