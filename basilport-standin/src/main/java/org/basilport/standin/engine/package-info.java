/** In-memory stand-in for a model engine with continuous batching. */
package org.basilport.standin.engine;
