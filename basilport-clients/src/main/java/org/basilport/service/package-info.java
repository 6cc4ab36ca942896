/** Interface to plain (non-model) services. */
package org.basilport.service;
