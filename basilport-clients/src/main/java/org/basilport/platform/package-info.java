/** Interfaces to the platform: object store, instance directory and weight store. */
package org.basilport.platform;
