/** In-memory stand-in of the platform: object API, instance list and weight store. */
package org.basilport.standin.platform;
