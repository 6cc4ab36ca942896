/** Tests of configuration loading, acceptance and propagation. */
package org.basilport.config;
