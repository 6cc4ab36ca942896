/** Typed configuration: loading, validation, acceptance and propagation to instances. */
package org.basilport.config;
