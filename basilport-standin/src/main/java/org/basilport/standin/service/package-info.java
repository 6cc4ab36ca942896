/** In-memory stand-in for an application service that counts executions. */
package org.basilport.standin.service;
