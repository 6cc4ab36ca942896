/** In-memory stand-in for the platform: object store, instance list and weight store. */
package org.basilport.standin.platform;
