/** Router of an instance, its control plane and the admission of requests. */
package org.basilport.router;
