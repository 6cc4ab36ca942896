/** In-memory stand-in of a plain service that counts executions. */
package org.basilport.standin.service;
