/** Typed configuration, its validation, acceptance and propagation. */
package org.basilport.config;
