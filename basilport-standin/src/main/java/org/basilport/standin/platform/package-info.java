/** In-memory stand-in for the platform: object store, instance directory and weight store. */
package org.basilport.standin.platform;
