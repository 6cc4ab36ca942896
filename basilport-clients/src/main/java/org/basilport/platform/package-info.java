/** Interfaces to the platform: object API, instance list and weight store. */
package org.basilport.platform;
