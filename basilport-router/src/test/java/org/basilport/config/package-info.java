/** Tests of the configuration. */
package org.basilport.config;
